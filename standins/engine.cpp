// Model engine: continuous batching over slots, prefix cache, priorities,
// resumable streams, versions that can be made bad. The text depends only on
// the prompt, so a test can tell whether an answer is whole and its own.
#include "web.h"

#include <algorithm>
#include <fmt/format.h>
#include <list>
#include <set>
#include <sstream>
#include <unordered_map>
#include <xxhash.h>

namespace standin {

namespace {

constexpr std::size_t BlockWords = 16;

struct Fault {
  std::string Mode_; ///< fail, slow, rubbish, truncate, duplicate or hang.
  std::string Route_;
  double Factor_ = 3;
  int MinRunning_ = 0; ///< Only with this many streams at once.
  double Share_ = 1;
};

struct Work {
  Json Body_;
  WebReplyPtr Reply_;
  std::string Route_;
  std::string RequestId_;
  std::string Version_;
  std::uint64_t Hash_ = 0;
  std::int64_t Next_ = 0;
  std::int64_t Max_ = 0;
  std::int64_t PromptTokens_ = 0;
  std::int64_t CachedTokens_ = 0;
  bool Gone_ = false;
  bool Hung_ = false;
};

using WorkPtr = std::shared_ptr<Work>;

std::string promptText(const Json &Body) {
  if (!Body.contains("messages"))
    return Body.value("prompt", "");
  std::string Text;
  for (const Json &Message : Body["messages"])
    Text +=
        Message.value("role", "") + "\n" + Message.value("content", "") + "\n";
  return Text;
}

class Engine {
public:
  Engine(asio::io_context &Io, const Options &From)
      : Io_(Io), From_(From),
        Web_(Io, From.Port_, [this](const auto &R, auto Reply) {
          handle(R, std::move(Reply));
        }) {
    std::stringstream List(From.Models_);
    for (std::string Item; std::getline(List, Item, ',');)
      Loaded_.insert(Item);
  }

private:
  void handle(const WebRequest &R, WebReplyPtr Reply) {
    if (R.Path_ == "/health")
      health(Reply);
    else if (R.Path_ == "/stats")
      Reply->json(200, {{"prompt_tokens", PromptTokens_},
                        {"computed_tokens", ComputedTokens_},
                        {"generated", Generated_},
                        {"cancelled", Cancelled_},
                        {"started", Started_},
                        {"by_version", ByVersion_}});
    else if (R.Path_ == "/control")
      control(parseBody(R), Reply);
    else if (R.Path_ == "/orders")
      order(parseBody(R), Reply);
    else if (R.Path_ == "/v1/chat/completions" || R.Path_ == "/v1/completions")
      complete(R, std::move(Reply));
    else
      Reply->json(404, {{"error", "no such path"}});
  }

  void health(const WebReplyPtr &Reply) {
    // The report lags: what is told is what was so a moment ago.
    const Json Report = {{"leaving", Leaving_ && !HideLeaving_},
                         {"running", Running_},
                         {"waiting", Queue_.size()},
                         {"slots", From_.Slots_},
                         {"loaded", loadedJson()}};
    if (From_.LagMs_ == 0 || LastReport_.empty()) {
      LastReport_ = Report;
      ReportAt_ = nowMs();
    }
    Reply->json(200, LastReport_);
    if (nowMs() - ReportAt_ >= From_.LagMs_) {
      LastReport_ = Report;
      ReportAt_ = nowMs();
    }
  }

  Json loadedJson() const {
    Json Rows = Json::array();
    for (const std::string &Item : Loaded_) {
      const auto At = Item.find('@');
      Rows.push_back(
          {{"model", Item.substr(0, At)}, {"version", Item.substr(At + 1)}});
    }
    return Rows;
  }

  void control(const Json &Body, const WebReplyPtr &Reply) {
    Leaving_ = Body.value("leaving", Leaving_);
    HideLeaving_ = Body.value("hide_leaving", HideLeaving_);
    if (Body.contains("fault")) {
      const Json &F = Body["fault"];
      Faults_[F.value("version", "*")] = {
          F.value("mode", "fail"), F.value("route", ""), F.value("factor", 3.0),
          F.value("min_running", 0), F.value("share", 1.0)};
    }
    if (Body.value("clear_faults", false))
      Faults_.clear();
    if (Body.value("hang_running", false))
      for (const WorkPtr &W : Active_)
        W->Hung_ = true;
    Reply->json(200, {{"ok", true}});
  }

  void order(const Json &Body, const WebReplyPtr &Reply) {
    const std::int64_t Epoch = Body.value("epoch", std::int64_t{-1});
    if (From_.CheckEpoch_ && Epoch < LastEpoch_) {
      Reply->json(409, {{"error", "old fencing number"}});
      return;
    }
    LastEpoch_ = std::max(LastEpoch_, Epoch);
    const std::string Item =
        Body.value("model", "") + "@" + Body.value("version", "");
    after(Io_, From_.LoadMs_, [this, Item] { Loaded_.insert(Item); });
    Reply->json(202, {{"ok", true}});
  }

  void complete(const WebRequest &R, WebReplyPtr Reply) {
    auto W = std::make_shared<Work>();
    W->Body_ = parseBody(R);
    W->Reply_ = std::move(Reply);
    W->Route_ = R.Path_ == "/v1/completions" ? "completions" : "chat";
    W->RequestId_ = W->Body_.value("request_id", "");
    W->Version_ = W->Body_.value("version", "");
    W->Max_ = W->Body_.value("max_tokens", std::int64_t{16});
    if (W->Body_.contains("resume"))
      W->Next_ = W->Body_["resume"].value("from", std::int64_t{0});
    if (Leaving_) {
      W->Reply_->json(503, {{"error", {{"type", "leaving"}}}});
      return;
    }
    const std::string Model = W->Body_.value("model", "");
    if (W->Version_.empty() && !Loaded_.empty())
      W->Version_ = Loaded_.begin()->substr(Loaded_.begin()->find('@') + 1);
    if (Loaded_.count(Model + "@" + W->Version_) == 0) {
      W->Reply_->json(503, {{"error", {{"type", "not_loaded"}}}});
      return;
    }
    if (Queue_.size() >= static_cast<std::size_t>(From_.Queue_)) {
      W->Reply_->json(503, {{"error", {{"type", "busy"}}}});
      return;
    }
    const std::string Prompt = promptText(W->Body_);
    W->Hash_ = XXH3_64bits(Prompt.data(), Prompt.size());
    const bool Batch = W->Body_.value("priority", "") == "batch";
    if (Batch)
      Queue_.push_back(W);
    else
      Queue_.insert(std::find_if(Queue_.begin(), Queue_.end(),
                                 [](const WorkPtr &Other) {
                                   return Other->Body_.value("priority", "") ==
                                          "batch";
                                 }),
                    W);
    startWaiting();
  }

  void startWaiting() {
    while (Running_ < From_.Slots_ && !Queue_.empty()) {
      const WorkPtr W = Queue_.front();
      Queue_.pop_front();
      ++Running_;
      ++Started_;
      ++ByVersion_[W->Version_];
      Active_.insert(W);
      prefill(W);
    }
  }

  const Fault *faultOf(const Work &W) {
    for (const std::string &Key : {W.Version_, std::string("*")}) {
      const auto Found = Faults_.find(Key);
      if (Found == Faults_.end())
        continue;
      const Fault &F = Found->second;
      const bool Applies =
          (F.Route_.empty() || F.Route_ == W.Route_) &&
          Running_ >= F.MinRunning_ &&
          static_cast<double>((W.Hash_ >> 8) % 1000) < F.Share_ * 1000;
      if (Applies)
        return &F;
    }
    return nullptr;
  }

  void prefill(const WorkPtr &W) {
    const Fault *F = faultOf(*W);
    if (F != nullptr && F->Mode_ == "fail") {
      W->Reply_->json(500, {{"error", {{"type", "internal"}}}});
      release(W);
      return;
    }
    std::string Text = promptText(W->Body_);
    if (W->Body_.contains("resume"))
      Text += W->Body_["resume"].value("text", "");
    countPrompt(*W, Text);
    const double Slow = F != nullptr && F->Mode_ == "slow" ? F->Factor_ : 1;
    const double Ms = static_cast<double>(W->PromptTokens_ - W->CachedTokens_) *
                      From_.PrefillUs_ * Slow / 1000;
    after(Io_, static_cast<std::int64_t>(Ms), [this, W] { begin(W); });
  }

  /// Counts cached and computed prompt tokens and fills the cache.
  void countPrompt(Work &W, const std::string &Text) {
    std::istringstream Words(Text);
    std::uint64_t Hash = 0;
    std::size_t InBlock = 0;
    bool Matching = true;
    for (std::string Word; Words >> Word;) {
      ++W.PromptTokens_;
      Hash = XXH3_64bits_withSeed(Word.data(), Word.size(), Hash);
      if (++InBlock < BlockWords)
        continue;
      InBlock = 0;
      Matching = touchBlock(Hash) && Matching;
      if (Matching)
        W.CachedTokens_ += BlockWords;
    }
    PromptTokens_ += W.PromptTokens_;
    ComputedTokens_ += W.PromptTokens_ - W.CachedTokens_;
  }

  /// @return true if the block was in the cache; it is afterwards
  bool touchBlock(std::uint64_t Hash) {
    const auto Found = Blocks_.find(Hash);
    const bool Known = Found != Blocks_.end();
    if (Known)
      Recent_.erase(Found->second);
    Recent_.push_front(Hash);
    Blocks_[Hash] = Recent_.begin();
    while (Recent_.size() > static_cast<std::size_t>(From_.CacheBlocks_)) {
      Blocks_.erase(Recent_.back());
      Recent_.pop_back();
    }
    return Known;
  }

  void begin(const WorkPtr &W) {
    W->Reply_->begin("text/event-stream", [W] { W->Gone_ = true; });
    step(W);
  }

  void step(const WorkPtr &W) {
    if (W->Gone_) {
      ++Cancelled_;
      release(W);
      return;
    }
    if (W->Hung_) {
      release(W); // the connection stays open and silent
      return;
    }
    const Fault *F = faultOf(*W);
    const std::string Mode = F == nullptr ? "" : F->Mode_;
    if (W->Next_ >= W->Max_ ||
        (Mode == "truncate" && W->Next_ * 2 >= W->Max_)) {
      finish(W, Mode == "truncate");
      return;
    }
    sendToken(*W, W->Next_);
    if (Mode == "duplicate")
      sendToken(*W, W->Next_);
    if (Mode == "rubbish")
      W->Reply_->chunk("data: }{ not json\n\n");
    ++W->Next_;
    ++Generated_;
    const double Slow = Mode == "slow" ? F->Factor_ : 1;
    // Time owed below a millisecond adds up over tokens.
    Owed_ += From_.TokenMs_ * Slow;
    const auto Ms = static_cast<std::int64_t>(Owed_);
    Owed_ -= static_cast<double>(Ms);
    after(Io_, Ms, [this, W] { step(W); });
  }

  void sendToken(Work &W, std::int64_t Index) {
    const std::string Text = fmt::format(
        "w{} ", (W.Hash_ + static_cast<std::uint64_t>(Index) * 7919) % 99991);
    const std::string Piece =
        W.Route_ == "chat" ? fmt::format(R"("delta":{{"content":"{}"}})", Text)
                           : fmt::format(R"("text":"{}")", Text);
    W.Reply_->chunk(fmt::format("id: {}\ndata: {{\"choices\":[{{\"index\":0,{},"
                                "\"finish_reason\":null}}]}}\n\n",
                                Index, Piece));
  }

  void finish(const WorkPtr &W, bool Truncated) {
    if (!Truncated)
      W->Reply_->chunk(fmt::format(
          "data: {{\"choices\":[{{\"index\":0,\"delta\":{{}},"
          "\"finish_reason\":\"stop\"}}],\"usage\":{{\"prompt_tokens\":{},"
          "\"cached_tokens\":{}}}}}\n\ndata: [DONE]\n\n",
          W->PromptTokens_, W->CachedTokens_));
    W->Reply_->end();
    release(W);
  }

  void release(const WorkPtr &W) {
    Active_.erase(W);
    if (W->Hung_)
      HungForever_.push_back(W);
    --Running_;
    startWaiting();
  }

  asio::io_context &Io_;
  Options From_;
  std::set<std::string> Loaded_;
  std::map<std::string, Fault> Faults_;
  std::list<WorkPtr> Queue_;
  std::set<WorkPtr> Active_;
  std::vector<WorkPtr> HungForever_;
  std::list<std::uint64_t> Recent_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Blocks_;
  int Running_ = 0;
  bool Leaving_ = false;
  bool HideLeaving_ = false;
  std::int64_t LastEpoch_ = -1;
  double Owed_ = 0;
  std::int64_t PromptTokens_ = 0;
  std::int64_t ComputedTokens_ = 0;
  std::int64_t Generated_ = 0;
  std::int64_t Cancelled_ = 0;
  std::int64_t Started_ = 0;
  std::map<std::string, std::int64_t> ByVersion_;
  Json LastReport_;
  std::int64_t ReportAt_ = 0;
  Web Web_;
};

} // namespace

void runEngine(asio::io_context &Io, const Options &From) {
  static Engine Instance(Io, From);
}

} // namespace standin
