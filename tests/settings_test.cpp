// Tests of the parsers of settings, configurations and release notes: all
// mistakes are reported at once, each with its line and the expected value.
#include "releasenote.h"
#include "settings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace endivewharf {

namespace {

constexpr const char *ValidSettings = R"([entry]
name = entry-1
data_centre = brno
zone = brno-a
listen = 127.0.0.1:8101
operator_listen = 127.0.0.1:8201
peer_listen = 127.0.0.1:8301
[platform]
log = http://127.0.0.1:9200
hosts = http://127.0.0.1:9201
)";

tl::expected<Settings, FileErrors> buildSettings(const std::string &Text) {
  return SettingsBuilder("test.ini").addText(Text).build();
}

/// @return the first mistake reported for a key; the test fails if there is
/// none
FileError fileErrorAt(const FileErrors &Errors, const std::string &Key) {
  for (const FileError &Mistake : Errors)
    if (Mistake.Key_ == Key)
      return Mistake;
  ADD_FAILURE() << "no mistake reported for key " << Key;
  return {};
}

} // namespace

TEST(SettingsTest, file_complete_isRead) {
  const auto Parsed =
      buildSettings(std::string(ValidSettings) + "[limits]\nprogress = 250ms\n"
                                                 "max_body = 1MiB\n");
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed->Limits_.IdleTimeout_, 250);
  EXPECT_EQ(Parsed->Limits_.MaxRequestBodyBytes_, 1 << 20);
}

TEST(SettingsTest, file_manyMistakes_areAllToldWithTheirLines) {
  const auto Parsed =
      buildSettings(std::string(ValidSettings) + "[limits]\nprogres = 2s\n"
                                                 "queue = many\n"
                                                 "[limit]\nx = y\n");
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().size(), 3U);
  const FileError Unknown = fileErrorAt(Parsed.error(), "progres");
  EXPECT_EQ(Unknown.Line_, 12);
  EXPECT_NE(Unknown.Expected_.find("nearest: progress"), std::string::npos);
  EXPECT_EQ(fileErrorAt(Parsed.error(), "queue").Line_, 13);
}

TEST(SettingsTest, file_sameAddressTwice_isRefused) {
  const auto Parsed = buildSettings(std::string(ValidSettings) +
                                    "[peer entry-2]\naddress = 127.0.0.1:8301\n"
                                    "data_centre = zlin\n");
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().size(), 1U);
  EXPECT_NE(Parsed.error()[0].Expected_.find("peer_listen"), std::string::npos);
}

TEST(SettingsTest, file_nameInPlaceOfIpNumber_isRefused) {
  std::string Text = ValidSettings;
  Text.replace(Text.find("127.0.0.1:8101"), 14, "localhost:8101");
  EXPECT_FALSE(buildSettings(Text).has_value());
}

RC_GTEST_PROP(SettingsTest, text_anything_doesNoHarm,
              (const std::string &Text)) {
  static_cast<void>(buildSettings(Text));
  static_cast<void>(parseConfiguration(Text, "x"));
  static_cast<void>(parseReleaseNote(Text, "x"));
}

TEST(SettingsTest, examples_asShipped_areRight) {
  for (const char *Example : {"kostkovna", "chhatri-sewa"}) {
    const std::string Folder =
        std::string(SOURCE_DIR) + "/examples/" + Example + "/";
    for (int I = 1; I <= 4; ++I) {
      const auto Parsed =
          readSettings(Folder + "entry-" + std::to_string(I) + ".ini");
      ASSERT_TRUE(Parsed.has_value()) << describe(Parsed.error().front());
      EXPECT_EQ(Parsed->Peers_.size(), 3U);
    }
  }
}

TEST(SettingsTest, reference_inDocs_hasEveryKey) {
  std::ifstream Stream(std::string(SOURCE_DIR) + "/docs/OPERATIONS.md");
  std::ostringstream Text;
  Text << Stream.rdbuf();
  for (const SettingsKey &Key : settingsReference()) {
    const std::string Row =
        "| " + Key.Section_ + " | " + Key.Key_ + " | " + Key.Meaning_ + " |";
    EXPECT_NE(Text.str().find(Row), std::string::npos) << Row;
  }
}

TEST(ConfigTest, text_mistakes_areTold) {
  const auto Parsed = parseConfiguration(
      "[account a]\nkey = k\nrate = -3\n[account b]\nkey = k\n"
      "[model m]\nversoin = v1\n[service s]\nunrepeatable = POST\n",
      "c.ini");
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(fileErrorAt(Parsed.error(), "rate").Line_, 3);
  EXPECT_EQ(fileErrorAt(Parsed.error(), "versoin").Line_, 7);
  EXPECT_EQ(fileErrorAt(Parsed.error(), "unrepeatable").Line_, 9);
  // The other two mistakes: the key of account b and the version of model m.
  EXPECT_EQ(Parsed.error().size(), 5U);
}

TEST(ConfigTest, route_methodAndPrefix_decideWhatIsUnrepeatable) {
  const auto Parsed = parseConfiguration(
      "[service s]\nunrepeatable = POST /pay, PUT /x\n", "c.ini");
  const ServiceEntry &S = Parsed->Services_.at("s");
  EXPECT_TRUE(isUnrepeatable(S, "POST", "/payments/1"));
  EXPECT_FALSE(isUnrepeatable(S, "GET", "/payments/1"));
  EXPECT_FALSE(isUnrepeatable(S, "POST", "/quotes"));
}

TEST(NoteTest, text_complete_isRead) {
  const auto Parsed =
      parseReleaseNote("[note]\nid = n\nby = 2027-03-01T06:00:00Z\n"
                       "[change m]\nto = v2\n",
                       "n.ini");
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed->DeadlineUnixMs_, 1803880800000);
  EXPECT_EQ(Parsed->Changes_.at(0).ToVersion_, "v2");
}

TEST(NoteTest, text_withoutTimeOrChange_isRefused) {
  const auto Parsed = parseReleaseNote("[note]\nid = n\n", "n.ini");
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().size(), 2U);
}

} // namespace endivewharf
