// Every decoder of bytes from outside, on bytes that are nearly right; what can
// be decoded goes on into a running process. Built with the address and
// undefined-behaviour sanitizers; FUZZ_SEED and FUZZ_RUNS change the play.
#include "codec.h"
#include "mutator.h"
#include "note.h"
#include "platform.h"
#include "platform/wire.h"
#include "platformfixture.h"

#include <cstdlib>
#include <functional>
#include <utility>

namespace endivewharf {

namespace {

constexpr std::uint64_t DefaultSeed = 20261204;
constexpr std::uint64_t DefaultRuns = 20000;

std::uint64_t numberFrom(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

constexpr const char *Published =
    R"({"version":7,"routes":[{"name":"r","host":"shop.example","pathPrefix":)"
    R"("/check/","kind":"idempotent","timeoutMs":1000,"goalMs":100,)"
    R"("priority":2,"split":[{"service":"orders","weight":90},)"
    R"({"service":"engines","weight":10}],"attempts":2},{"name":"q","host":)"
    R"("shop.example","pathPrefix":"/report/","kind":"stream","timeoutMs":)"
    R"(9000,"goalMs":700,"split":[{"service":"engines","weight":1}]}],)"
    R"("services":[{"name":"orders","maxConns":5,"scaling":{"min":1,"max":6,)"
    R"("bootS":4.0,"spotPrice":0.18,"zonePrices":{"a":0.85,"b":1.2}}},)"
    R"({"name":"engines"}],"tenants":[{"name":"n","apiKeys":["k1","k2"],)"
    R"("unit":"tokens","ratePerS":10,"burst":20},{"name":"m","apiKeys":[]}]})";

constexpr const char *Entry =
    R"({"service":"orders","address":"10.1.2.3:80","zone":"a","version":"v1",)"
    R"("slots":6,"state":"ready","coldRemainingMs":0,"born":17,"sequence":4})";

class FuzzTest : public PlatformTest {
protected:
  void SetUp() override {
    PlatformTest::SetUp();
    hearOf("entry-2", 9);
  }

  /// Plays a number of mutated samples.
  void play(std::vector<std::string> Samples,
            const std::function<void(const std::string &)> &Step) {
    Mutator Bytes(Seed_, std::move(Samples));
    for (std::uint64_t I = 0; I < Runs_; ++I) {
      const std::string Next = Bytes.next();
      Step(Next);
      if (I % 10 == 0)
        goOn(Bytes.draw(200));
    }
    expectDecisions();
  }

  /// Time passes and a caller asks.
  void goOn(std::size_t Time) {
    after(static_cast<Millis>(Time));
    send(Time % 2 == 0 ? "/check/1" : "/report/1");
    if (const auto Start = one<StartAttempt>())
      fail(Start->Attempt_, AttemptFailure::Broken);
  }

  /// After all that each request is still decided.
  void expectDecisions() {
    after(20000);
    send("/check/1");
    const bool Decided = one<StartAttempt>() || one<RefuseCall>();
    after(20000);
    EXPECT_TRUE(Decided || one<RefuseCall>());
  }

  template <std::size_t... I>
  static std::vector<std::string> messages(std::index_sequence<I...>) {
    return {encodeMessage(
        {{"entry-2", 9}, std::variant_alternative_t<I, PeerMessage>{}})...};
  }

  template <std::size_t... I>
  static std::vector<std::string> records(std::index_sequence<I...>) {
    return {encodeRecord(std::variant_alternative_t<I, LogRecord>{})...};
  }

  /// Messages as a process that has work sends them.
  std::vector<std::string> realMessages() {
    std::vector<std::string> Samples =
        messages(std::make_index_sequence<std::variant_size_v<PeerMessage>>{});
    for (int I = 0; I < 100; ++I) {
      send(I % 3 == 0 ? "/report/1" : "/check/1");
      for (const Effect &E : after(50))
        if (const auto *Sent = std::get_if<SendToPeer>(&E))
          Samples.push_back(encodeMessage({{"entry-2", 9}, Sent->Message_}));
        else if (const auto *All = std::get_if<SendToPeers>(&E))
          Samples.push_back(encodeMessage({{"entry-2", 9}, All->Message_}));
    }
    return Samples;
  }

  std::uint64_t Seed_ = numberFrom("FUZZ_SEED", DefaultSeed);
  std::uint64_t Runs_ = numberFrom("FUZZ_RUNS", DefaultRuns);
};

} // namespace

TEST_F(FuzzTest, peerMessages_nearlyRight_doNoHarm) {
  play(realMessages(), [this](const std::string &Bytes) {
    auto Envelope = decodeMessage(Bytes);
    if (!Envelope)
      return;
    EXPECT_TRUE(decodeMessage(encodeMessage(*Envelope)));
    feed(PeerReceived{std::move(*Envelope)});
  });
}

TEST_F(FuzzTest, logRecords_nearlyRight_doNoHarm) {
  takeLease();
  auto Samples =
      records(std::make_index_sequence<std::variant_size_v<LogRecord>>{});
  Samples.push_back(encodeRecord(ConfigRecord{0, Config}));
  play(Samples, [this](const std::string &Text) {
    LogRead Page{0, NextOffset_ + 1, true, {}};
    auto Record = decodeRecord(Text);
    Page.Entries_.push_back({NextOffset_++, std::nullopt});
    if (Record) {
      encodeRecord(*Record);
      Page.Entries_.back().Record_ = std::move(*Record);
    }
    feed(Page);
  });
}

TEST_F(FuzzTest, configurations_nearlyRight_doNoHarm) {
  LogOffset At = 1;
  play({Published}, [&](const std::string &Text) {
    const auto Ini = platform::decodeConfiguration(Text);
    if (Ini)
      feed(OperatorRead{At + 1, {{At, PublishedConfiguration{*Ini}}}});
    ++At;
  });
}

TEST_F(FuzzTest, ownConfigurations_nearlyRight_doNoHarm) {
  LogOffset At = 1;
  play({Config}, [&](const std::string &Text) {
    parseConfiguration(Text, "fuzz");
    feed(OperatorRead{At + 1, {{At, PublishedConfiguration{Text}}}});
    ++At;
  });
}

TEST_F(FuzzTest, hostEntries_nearlyRight_doNoHarm) {
  int Number = 0;
  play({Entry}, [&](const std::string &Text) {
    const auto Row =
        platform::decodeHost("i-" + std::to_string(Number++ % 9), Text);
    if (!Row)
      return;
    auto Rows = hosts();
    Rows.push_back(*Row);
    feed(HostsRead{Rows});
  });
}

TEST_F(FuzzTest, moves_nearlyRight_doNoHarm) {
  LogOffset At = 1;
  play({R"({"service":"orders","target":"v2","durationS":9})",
        R"({"service":"engines","target":"v2","durationS":0.5})"},
       [&](const std::string &Text) {
         if (const auto Move = platform::decodeMove(Text))
           feed(OperatorRead{At + 1, {{At, *Move}}});
         ++At;
       });
}

TEST_F(FuzzTest, storePages_nearlyRight_doNoHarm) {
  std::string Page(16, '\0');
  Page[15] = 3;
  Page += platform::encodeKeyed("key", "value");
  Page += platform::encodeKeyed("gone", "");
  const std::string Newest =
      R"({"items":[{"key":"k","value":"YWI=","offset":4}],"hasMore":true,"end":6})";
  play({Page, Newest}, [](const std::string &Bytes) {
    platform::decodePage(Bytes, 0);
    platform::decodeNewest(Bytes);
  });
}

TEST_F(FuzzTest, ownPlatformAnswers_nearlyRight_doNoHarm) {
  const std::string Record = encodeRecord(ClaimRecord{});
  const nlohmann::json Page = {
      {"earliest", 0},
      {"next", 1},
      {"at_tail", true},
      {"records", {{{"offset", 0}, {"body", Record}}}}};
  play(
      {Page.dump(),
       R"({"hosts":[{"name":"h","incarnation":3,"address":"http://10.0.0.1:1",)"
       R"("data_centre":"a","kind":"engine","price":0.5}]})"},
      [](const std::string &Text) {
        parseLogPage(Text);
        parseHosts(Text);
      });
}

TEST_F(FuzzTest, smallTexts_nearlyRight_doNoHarm) {
  play({"250ms", "512KiB", "127.0.0.1:8080", "a:12,b:9", "42",
        "[note]\nid = a\nwithin = 10m\n[change m]\nto = v2\n"},
       [](const std::string &Text) {
         parseDuration(Text);
         parseSize(Text);
         parseAddress(Text);
         platform::decodeParts(Text);
         platform::decodeNumber(Text);
         parseNote(Text, "fuzz");
       });
}

} // namespace endivewharf
