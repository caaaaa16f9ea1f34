// Settings, configuration and notes: every mistake at once, each with its
// place and what was expected.
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

/// The only mistake with a key.
FileError fileErrorAt(const FileErrors &All, const std::string &Key) {
  for (const FileError &Mistake : All)
    if (Mistake.Key_ == Key)
      return Mistake;
  ADD_FAILURE() << "no mistake at " << Key;
  return {};
}

} // namespace

TEST(SettingsTest, file_complete_isRead) {
  const auto Got =
      buildSettings(std::string(ValidSettings) + "[limits]\nprogress = 250ms\n"
                                                 "max_body = 1MiB\n");
  ASSERT_TRUE(Got.has_value());
  EXPECT_EQ(Got->Limits_.IdleTimeout_, 250);
  EXPECT_EQ(Got->Limits_.MaxRequestBodyBytes_, 1 << 20);
}

TEST(SettingsTest, file_manyMistakes_areAllToldWithTheirLines) {
  const auto Got =
      buildSettings(std::string(ValidSettings) + "[limits]\nprogres = 2s\n"
                                                 "queue = many\n"
                                                 "[limit]\nx = y\n");
  ASSERT_FALSE(Got.has_value());
  EXPECT_EQ(Got.error().size(), 3U);
  const FileError Unknown = fileErrorAt(Got.error(), "progres");
  EXPECT_EQ(Unknown.Line_, 12);
  EXPECT_NE(Unknown.Expected_.find("nearest: progress"), std::string::npos);
  EXPECT_EQ(fileErrorAt(Got.error(), "queue").Line_, 13);
}

TEST(SettingsTest, file_sameAddressTwice_isRefused) {
  const auto Got = buildSettings(std::string(ValidSettings) +
                                 "[peer entry-2]\naddress = 127.0.0.1:8301\n"
                                 "data_centre = zlin\n");
  ASSERT_FALSE(Got.has_value());
  EXPECT_EQ(Got.error().size(), 1U);
  EXPECT_NE(Got.error()[0].Expected_.find("peer_listen"), std::string::npos);
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
  for (const char *Firm : {"kostkovna", "chhatri-sewa"}) {
    const std::string Folder =
        std::string(SOURCE_DIR) + "/examples/" + Firm + "/";
    for (int I = 1; I <= 4; ++I) {
      const auto Got =
          readSettings(Folder + "entry-" + std::to_string(I) + ".ini");
      ASSERT_TRUE(Got.has_value()) << describe(Got.error().front());
      EXPECT_EQ(Got->Peers_.size(), 3U);
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
  const auto Got = parseConfiguration(
      "[account a]\nkey = k\nrate = -3\n[account b]\nkey = k\n"
      "[model m]\nversoin = v1\n[service s]\nunrepeatable = POST\n",
      "c.ini");
  ASSERT_FALSE(Got.has_value());
  EXPECT_EQ(fileErrorAt(Got.error(), "rate").Line_, 3);
  EXPECT_EQ(fileErrorAt(Got.error(), "versoin").Line_, 7);
  EXPECT_EQ(fileErrorAt(Got.error(), "unrepeatable").Line_, 9);
  EXPECT_EQ(Got.error().size(), 5U); // besides: key b, version of m
}

TEST(ConfigTest, route_methodAndPrefix_decideWhatIsUnrepeatable) {
  const auto Got = parseConfiguration(
      "[service s]\nunrepeatable = POST /pay, PUT /x\n", "c.ini");
  const ServiceEntry &S = Got->Services_.at("s");
  EXPECT_TRUE(isUnrepeatable(S, "POST", "/payments/1"));
  EXPECT_FALSE(isUnrepeatable(S, "GET", "/payments/1"));
  EXPECT_FALSE(isUnrepeatable(S, "POST", "/quotes"));
}

TEST(NoteTest, text_complete_isRead) {
  const auto Got =
      parseReleaseNote("[note]\nid = n\nby = 2027-03-01T06:00:00Z\n"
                       "[change m]\nto = v2\n",
                       "n.ini");
  ASSERT_TRUE(Got.has_value());
  EXPECT_EQ(Got->DeadlineUnixMs_, 1803880800000);
  EXPECT_EQ(Got->Changes_.at(0).ToVersion_, "v2");
}

TEST(NoteTest, text_withoutTimeOrChange_isRefused) {
  const auto Got = parseReleaseNote("[note]\nid = n\n", "n.ini");
  ASSERT_FALSE(Got.has_value());
  EXPECT_EQ(Got.error().size(), 2U);
}

} // namespace endivewharf
