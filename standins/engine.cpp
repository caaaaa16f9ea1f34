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

constexpr std::size_t WordsPerCacheBlock = 16;

struct Fault {
  std::string Mode_; ///< fail, slow, rubbish, truncate, duplicate or hang.
  std::string Route_;
  double SlowdownFactor_ = 3;
  int MinRunningRequests_ = 0; ///< Only with this many streams at once.
  double AffectedShare_ = 1;
};

struct EngineRequest {
  Json Body_;
  WebReplyPtr Reply_;
  std::string Route_;
  std::string RequestId_;
  std::string Version_;
  std::uint64_t PromptHash_ = 0;
  std::int64_t NextTokenIndex_ = 0;
  std::int64_t MaxTokens_ = 0;
  std::int64_t PromptTokens_ = 0;
  std::int64_t CachedTokens_ = 0;
  bool CallerDisconnected_ = false;
  bool Hung_ = false;
};

using EngineRequestPtr = std::shared_ptr<EngineRequest>;

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
  Engine(asio::io_context &Io, const StandInOptions &From)
      : Io_(Io), Options_(From),
        HttpServer_(Io, From.Port_, [this](const auto &R, auto Reply) {
          handleRequest(R, std::move(Reply));
        }) {
    std::stringstream List(From.ModelVersions_);
    for (std::string Item; std::getline(List, Item, ',');)
      LoadedVersions_.insert(Item);
  }

private:
  void handleRequest(const WebRequest &R, WebReplyPtr Reply) {
    if (R.Path_ == "/health")
      sendHealthReport(Reply);
    else if (R.Path_ == "/stats")
      Reply->sendJson(200, {{"prompt_tokens", PromptTokens_},
                            {"computed_tokens", ComputedTokens_},
                            {"generated", GeneratedTokens_},
                            {"cancelled", CancelledRequests_},
                            {"started", StartedRequests_},
                            {"by_version", StartedByVersion_}});
    else if (R.Path_ == "/control")
      applyControl(parseJsonBody(R), Reply);
    else if (R.Path_ == "/orders")
      applyLoadCommand(parseJsonBody(R), Reply);
    else if (R.Path_ == "/v1/chat/completions" || R.Path_ == "/v1/completions")
      enqueueCompletion(R, std::move(Reply));
    else
      Reply->sendJson(404, {{"error", "no such path"}});
  }

  void sendHealthReport(const WebReplyPtr &Reply) {
    // The report lags: what is told is what was so a moment ago.
    const Json Report = {{"leaving", Leaving_ && !HideLeaving_},
                         {"running", RunningCount_},
                         {"waiting", QueuedRequests_.size()},
                         {"slots", Options_.Slots_},
                         {"loaded", loadedVersionsJson()}};
    if (Options_.ReportLagMs_ == 0 || LastHealthReport_.empty()) {
      LastHealthReport_ = Report;
      HealthReportAtMs_ = nowMs();
    }
    Reply->sendJson(200, LastHealthReport_);
    if (nowMs() - HealthReportAtMs_ >= Options_.ReportLagMs_) {
      LastHealthReport_ = Report;
      HealthReportAtMs_ = nowMs();
    }
  }

  Json loadedVersionsJson() const {
    Json Rows = Json::array();
    for (const std::string &Item : LoadedVersions_) {
      const auto At = Item.find('@');
      Rows.push_back(
          {{"model", Item.substr(0, At)}, {"version", Item.substr(At + 1)}});
    }
    return Rows;
  }

  void applyControl(const Json &Body, const WebReplyPtr &Reply) {
    Leaving_ = Body.value("leaving", Leaving_);
    HideLeaving_ = Body.value("hide_leaving", HideLeaving_);
    if (Body.contains("fault")) {
      const Json &F = Body["fault"];
      FaultByVersion_[F.value("version", "*")] = {
          F.value("mode", "fail"), F.value("route", ""), F.value("factor", 3.0),
          F.value("min_running", 0), F.value("share", 1.0)};
    }
    if (Body.value("clear_faults", false))
      FaultByVersion_.clear();
    if (Body.value("hang_running", false))
      for (const EngineRequestPtr &W : ActiveRequests_)
        W->Hung_ = true;
    Reply->sendJson(200, {{"ok", true}});
  }

  void applyLoadCommand(const Json &Body, const WebReplyPtr &Reply) {
    const std::int64_t Epoch = Body.value("epoch", std::int64_t{-1});
    if (Options_.CheckEpoch_ && Epoch < HighestEpoch_) {
      Reply->sendJson(409, {{"error", "old fencing number"}});
      return;
    }
    HighestEpoch_ = std::max(HighestEpoch_, Epoch);
    const std::string Item =
        Body.value("model", "") + "@" + Body.value("version", "");
    runAfter(Io_, Options_.ModelLoadMs_,
             [this, Item] { LoadedVersions_.insert(Item); });
    Reply->sendJson(202, {{"ok", true}});
  }

  void enqueueCompletion(const WebRequest &R, WebReplyPtr Reply) {
    auto W = std::make_shared<EngineRequest>();
    W->Body_ = parseJsonBody(R);
    W->Reply_ = std::move(Reply);
    W->Route_ = R.Path_ == "/v1/completions" ? "completions" : "chat";
    W->RequestId_ = W->Body_.value("request_id", "");
    W->Version_ = W->Body_.value("version", "");
    W->MaxTokens_ = W->Body_.value("max_tokens", std::int64_t{16});
    if (W->Body_.contains("resume"))
      W->NextTokenIndex_ = W->Body_["resume"].value("from", std::int64_t{0});
    if (Leaving_) {
      W->Reply_->sendJson(503, {{"error", {{"type", "leaving"}}}});
      return;
    }
    const std::string Model = W->Body_.value("model", "");
    if (W->Version_.empty() && !LoadedVersions_.empty())
      W->Version_ = LoadedVersions_.begin()->substr(
          LoadedVersions_.begin()->find('@') + 1);
    if (LoadedVersions_.count(Model + "@" + W->Version_) == 0) {
      W->Reply_->sendJson(503, {{"error", {{"type", "not_loaded"}}}});
      return;
    }
    if (QueuedRequests_.size() >=
        static_cast<std::size_t>(Options_.MaxQueueLength_)) {
      W->Reply_->sendJson(503, {{"error", {{"type", "busy"}}}});
      return;
    }
    const std::string Prompt = promptText(W->Body_);
    W->PromptHash_ = XXH3_64bits(Prompt.data(), Prompt.size());
    const bool Batch = W->Body_.value("priority", "") == "batch";
    if (Batch)
      QueuedRequests_.push_back(W);
    else
      QueuedRequests_.insert(
          std::find_if(QueuedRequests_.begin(), QueuedRequests_.end(),
                       [](const EngineRequestPtr &Other) {
                         return Other->Body_.value("priority", "") == "batch";
                       }),
          W);
    startQueuedRequests();
  }

  void startQueuedRequests() {
    while (RunningCount_ < Options_.Slots_ && !QueuedRequests_.empty()) {
      const EngineRequestPtr W = QueuedRequests_.front();
      QueuedRequests_.pop_front();
      ++RunningCount_;
      ++StartedRequests_;
      ++StartedByVersion_[W->Version_];
      ActiveRequests_.insert(W);
      startPrefill(W);
    }
  }

  const Fault *applicableFault(const EngineRequest &W) {
    for (const std::string &Key : {W.Version_, std::string("*")}) {
      const auto Found = FaultByVersion_.find(Key);
      if (Found == FaultByVersion_.end())
        continue;
      const Fault &F = Found->second;
      const bool Applies = (F.Route_.empty() || F.Route_ == W.Route_) &&
                           RunningCount_ >= F.MinRunningRequests_ &&
                           static_cast<double>((W.PromptHash_ >> 8) % 1000) <
                               F.AffectedShare_ * 1000;
      if (Applies)
        return &F;
    }
    return nullptr;
  }

  void startPrefill(const EngineRequestPtr &W) {
    const Fault *F = applicableFault(*W);
    if (F != nullptr && F->Mode_ == "fail") {
      W->Reply_->sendJson(500, {{"error", {{"type", "internal"}}}});
      releaseSlot(W);
      return;
    }
    std::string Text = promptText(W->Body_);
    if (W->Body_.contains("resume"))
      Text += W->Body_["resume"].value("text", "");
    countAndCachePrompt(*W, Text);
    const double Slow =
        F != nullptr && F->Mode_ == "slow" ? F->SlowdownFactor_ : 1;
    const double Ms = static_cast<double>(W->PromptTokens_ - W->CachedTokens_) *
                      Options_.PrefillUsPerToken_ * Slow / 1000;
    runAfter(Io_, static_cast<std::int64_t>(Ms),
             [this, W] { beginTokenStream(W); });
  }

  /// Counts cached and computed prompt tokens and fills the cache.
  void countAndCachePrompt(EngineRequest &W, const std::string &Text) {
    std::istringstream Words(Text);
    std::uint64_t Hash = 0;
    std::size_t InBlock = 0;
    bool Matching = true;
    for (std::string Word; Words >> Word;) {
      ++W.PromptTokens_;
      Hash = XXH3_64bits_withSeed(Word.data(), Word.size(), Hash);
      if (++InBlock < WordsPerCacheBlock)
        continue;
      InBlock = 0;
      Matching = touchCacheBlock(Hash) && Matching;
      if (Matching)
        W.CachedTokens_ += WordsPerCacheBlock;
    }
    PromptTokens_ += W.PromptTokens_;
    ComputedTokens_ += W.PromptTokens_ - W.CachedTokens_;
  }

  /// @return true if the block was in the cache; it is afterwards
  bool touchCacheBlock(std::uint64_t Hash) {
    const auto Found = CachedBlockByHash_.find(Hash);
    const bool Known = Found != CachedBlockByHash_.end();
    if (Known)
      CacheEvictionOrder_.erase(Found->second);
    CacheEvictionOrder_.push_front(Hash);
    CachedBlockByHash_[Hash] = CacheEvictionOrder_.begin();
    while (CacheEvictionOrder_.size() >
           static_cast<std::size_t>(Options_.CacheCapacityBlocks_)) {
      CachedBlockByHash_.erase(CacheEvictionOrder_.back());
      CacheEvictionOrder_.pop_back();
    }
    return Known;
  }

  void beginTokenStream(const EngineRequestPtr &W) {
    W->Reply_->begin("text/event-stream",
                     [W] { W->CallerDisconnected_ = true; });
    advanceTokenStream(W);
  }

  void advanceTokenStream(const EngineRequestPtr &W) {
    if (W->CallerDisconnected_) {
      ++CancelledRequests_;
      releaseSlot(W);
      return;
    }
    if (W->Hung_) {
      releaseSlot(W); // the connection stays open and silent
      return;
    }
    const Fault *F = applicableFault(*W);
    const std::string Mode = F == nullptr ? "" : F->Mode_;
    if (W->NextTokenIndex_ >= W->MaxTokens_ ||
        (Mode == "truncate" && W->NextTokenIndex_ * 2 >= W->MaxTokens_)) {
      finishTokenStream(W, Mode == "truncate");
      return;
    }
    sendToken(*W, W->NextTokenIndex_);
    if (Mode == "duplicate")
      sendToken(*W, W->NextTokenIndex_);
    if (Mode == "rubbish")
      W->Reply_->chunk("data: }{ not json\n\n");
    ++W->NextTokenIndex_;
    ++GeneratedTokens_;
    const double Slow = Mode == "slow" ? F->SlowdownFactor_ : 1;
    // Time owed below a millisecond adds up over tokens.
    FractionalDelayMs_ += Options_.DecodeMsPerToken_ * Slow;
    const auto Ms = static_cast<std::int64_t>(FractionalDelayMs_);
    FractionalDelayMs_ -= static_cast<double>(Ms);
    runAfter(Io_, Ms, [this, W] { advanceTokenStream(W); });
  }

  void sendToken(EngineRequest &W, std::int64_t Index) {
    const std::string Text = fmt::format(
        "w{} ",
        (W.PromptHash_ + static_cast<std::uint64_t>(Index) * 7919) % 99991);
    const std::string Piece =
        W.Route_ == "chat" ? fmt::format(R"("delta":{{"content":"{}"}})", Text)
                           : fmt::format(R"("text":"{}")", Text);
    W.Reply_->chunk(fmt::format("id: {}\ndata: {{\"choices\":[{{\"index\":0,{},"
                                "\"finish_reason\":null}}]}}\n\n",
                                Index, Piece));
  }

  void finishTokenStream(const EngineRequestPtr &W, bool Truncated) {
    if (!Truncated)
      W->Reply_->chunk(fmt::format(
          "data: {{\"choices\":[{{\"index\":0,\"delta\":{{}},"
          "\"finish_reason\":\"stop\"}}],\"usage\":{{\"prompt_tokens\":{},"
          "\"cached_tokens\":{}}}}}\n\ndata: [DONE]\n\n",
          W->PromptTokens_, W->CachedTokens_));
    W->Reply_->end();
    releaseSlot(W);
  }

  void releaseSlot(const EngineRequestPtr &W) {
    ActiveRequests_.erase(W);
    if (W->Hung_)
      HungRequests_.push_back(W);
    --RunningCount_;
    startQueuedRequests();
  }

  asio::io_context &Io_;
  StandInOptions Options_;
  std::set<std::string> LoadedVersions_;
  std::map<std::string, Fault> FaultByVersion_;
  std::list<EngineRequestPtr> QueuedRequests_;
  std::set<EngineRequestPtr> ActiveRequests_;
  std::vector<EngineRequestPtr> HungRequests_;
  std::list<std::uint64_t> CacheEvictionOrder_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      CachedBlockByHash_;
  int RunningCount_ = 0;
  bool Leaving_ = false;
  bool HideLeaving_ = false;
  std::int64_t HighestEpoch_ = -1;
  double FractionalDelayMs_ = 0;
  std::int64_t PromptTokens_ = 0;
  std::int64_t ComputedTokens_ = 0;
  std::int64_t GeneratedTokens_ = 0;
  std::int64_t CancelledRequests_ = 0;
  std::int64_t StartedRequests_ = 0;
  std::map<std::string, std::int64_t> StartedByVersion_;
  Json LastHealthReport_;
  std::int64_t HealthReportAtMs_ = 0;
  HttpServer HttpServer_;
};

} // namespace

void startEngine(asio::io_context &Io, const StandInOptions &From) {
  static Engine Instance(Io, From);
}

} // namespace standin
