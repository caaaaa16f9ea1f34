// Stand-in for a model engine: continuous batching over slots, prefix cache,
// priorities, resumable streams and faults by version. The generated text
// depends only on the prompt and the token index, so a test can check that an
// answer is complete and belongs to its request.
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
  std::string Mode_;          ///< fail, slow, rubbish, truncate or duplicate.
  std::string Route_;         ///< chat or completions; empty: both.
  double SlowdownFactor_ = 3; ///< Delay multiplier of mode slow.
  /// The fault applies only while at least this many requests run.
  int MinRunningRequests_ = 0;
  double AffectedShare_ = 1; ///< Fraction of prompts affected, 0 to 1.
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
  bool Hung_ = false; ///< Sends nothing more and keeps the connection open.
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
  Engine(asio::io_context &Io, const StandInOptions &Options)
      : Io_(Io), Options_(Options),
        HttpServer_(Io, Options.Port_, [this](const auto &R, auto Reply) {
          handleRequest(R, std::move(Reply));
        }) {
    std::stringstream List(Options.ModelVersions_);
    for (std::string ModelVersion; std::getline(List, ModelVersion, ',');)
      LoadedVersions_.insert(ModelVersion);
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
    // Sends the stored report before replacing it, which happens at most once
    // per ReportLagMs_, so that the caller sees an earlier state.
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
    for (const std::string &ModelVersion : LoadedVersions_) {
      const auto Separator = ModelVersion.find('@');
      Rows.push_back({{"model", ModelVersion.substr(0, Separator)},
                      {"version", ModelVersion.substr(Separator + 1)}});
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
      for (const EngineRequestPtr &Request : ActiveRequests_)
        Request->Hung_ = true;
    Reply->sendJson(200, {{"ok", true}});
  }

  void applyLoadCommand(const Json &Body, const WebReplyPtr &Reply) {
    const std::int64_t Epoch = Body.value("epoch", std::int64_t{-1});
    if (Options_.CheckEpoch_ && Epoch < HighestEpoch_) {
      Reply->sendJson(409, {{"error", "old fencing number"}});
      return;
    }
    HighestEpoch_ = std::max(HighestEpoch_, Epoch);
    const std::string ModelVersion =
        Body.value("model", "") + "@" + Body.value("version", "");
    runAfter(Io_, Options_.ModelLoadMs_,
             [this, ModelVersion] { LoadedVersions_.insert(ModelVersion); });
    Reply->sendJson(202, {{"ok", true}});
  }

  void enqueueCompletion(const WebRequest &R, WebReplyPtr Reply) {
    auto Request = std::make_shared<EngineRequest>();
    Request->Body_ = parseJsonBody(R);
    Request->Reply_ = std::move(Reply);
    Request->Route_ = R.Path_ == "/v1/completions" ? "completions" : "chat";
    Request->RequestId_ = Request->Body_.value("request_id", "");
    Request->Version_ = Request->Body_.value("version", "");
    Request->MaxTokens_ = Request->Body_.value("max_tokens", std::int64_t{16});
    if (Request->Body_.contains("resume"))
      Request->NextTokenIndex_ =
          Request->Body_["resume"].value("from", std::int64_t{0});
    if (Leaving_) {
      Request->Reply_->sendJson(503, {{"error", {{"type", "leaving"}}}});
      return;
    }
    const std::string Model = Request->Body_.value("model", "");
    if (Request->Version_.empty() && !LoadedVersions_.empty())
      Request->Version_ = LoadedVersions_.begin()->substr(
          LoadedVersions_.begin()->find('@') + 1);
    if (LoadedVersions_.count(Model + "@" + Request->Version_) == 0) {
      Request->Reply_->sendJson(503, {{"error", {{"type", "not_loaded"}}}});
      return;
    }
    if (QueuedRequests_.size() >=
        static_cast<std::size_t>(Options_.MaxQueueLength_)) {
      Request->Reply_->sendJson(503, {{"error", {{"type", "busy"}}}});
      return;
    }
    const std::string Prompt = promptText(Request->Body_);
    Request->PromptHash_ = XXH3_64bits(Prompt.data(), Prompt.size());
    const bool Batch = Request->Body_.value("priority", "") == "batch";
    if (Batch)
      QueuedRequests_.push_back(Request);
    else
      QueuedRequests_.insert(
          std::find_if(QueuedRequests_.begin(), QueuedRequests_.end(),
                       [](const EngineRequestPtr &Other) {
                         return Other->Body_.value("priority", "") == "batch";
                       }),
          Request);
    startQueuedRequests();
  }

  void startQueuedRequests() {
    while (RunningCount_ < Options_.Slots_ && !QueuedRequests_.empty()) {
      const EngineRequestPtr Request = QueuedRequests_.front();
      QueuedRequests_.pop_front();
      ++RunningCount_;
      ++StartedRequests_;
      ++StartedByVersion_[Request->Version_];
      ActiveRequests_.insert(Request);
      startPrefill(Request);
    }
  }

  const Fault *applicableFault(const EngineRequest &Request) {
    for (const std::string &Key : {Request.Version_, std::string("*")}) {
      const auto Found = FaultByVersion_.find(Key);
      if (Found == FaultByVersion_.end())
        continue;
      const Fault &F = Found->second;
      const bool Applies = (F.Route_.empty() || F.Route_ == Request.Route_) &&
                           RunningCount_ >= F.MinRunningRequests_ &&
                           static_cast<double>((Request.PromptHash_ >> 8) %
                                               1000) < F.AffectedShare_ * 1000;
      if (Applies)
        return &F;
    }
    return nullptr;
  }

  void startPrefill(const EngineRequestPtr &Request) {
    const Fault *F = applicableFault(*Request);
    if (F != nullptr && F->Mode_ == "fail") {
      Request->Reply_->sendJson(500, {{"error", {{"type", "internal"}}}});
      releaseSlot(Request);
      return;
    }
    std::string Text = promptText(Request->Body_);
    if (Request->Body_.contains("resume"))
      Text += Request->Body_["resume"].value("text", "");
    countAndCachePrompt(*Request, Text);
    const double DelayFactor =
        F != nullptr && F->Mode_ == "slow" ? F->SlowdownFactor_ : 1;
    const double DelayMs =
        static_cast<double>(Request->PromptTokens_ - Request->CachedTokens_) *
        Options_.PrefillUsPerToken_ * DelayFactor / 1000;
    runAfter(Io_, static_cast<std::int64_t>(DelayMs),
             [this, Request] { beginTokenStream(Request); });
  }

  /// Counts the prompt's tokens (words), adds its complete blocks to the prefix
  /// cache and counts those of its leading blocks that were cached before.
  void countAndCachePrompt(EngineRequest &Request, const std::string &Text) {
    std::istringstream Words(Text);
    std::uint64_t Hash = 0;
    std::size_t WordsInBlock = 0;
    bool PrefixCached = true;
    for (std::string Word; Words >> Word;) {
      ++Request.PromptTokens_;
      Hash = XXH3_64bits_withSeed(Word.data(), Word.size(), Hash);
      if (++WordsInBlock < WordsPerCacheBlock)
        continue;
      WordsInBlock = 0;
      PrefixCached = touchCacheBlock(Hash) && PrefixCached;
      if (PrefixCached)
        Request.CachedTokens_ += WordsPerCacheBlock;
    }
    PromptTokens_ += Request.PromptTokens_;
    ComputedTokens_ += Request.PromptTokens_ - Request.CachedTokens_;
  }

  /// Makes the block the most recently used one of the cache, adds it if it is
  /// missing and evicts the least recently used blocks beyond the capacity.
  ///
  /// @return true if the block was in the cache already
  bool touchCacheBlock(std::uint64_t Hash) {
    const auto Found = CachedBlockByHash_.find(Hash);
    const bool WasCached = Found != CachedBlockByHash_.end();
    if (WasCached)
      CacheEvictionOrder_.erase(Found->second);
    CacheEvictionOrder_.push_front(Hash);
    CachedBlockByHash_[Hash] = CacheEvictionOrder_.begin();
    while (CacheEvictionOrder_.size() >
           static_cast<std::size_t>(Options_.CacheCapacityBlocks_)) {
      CachedBlockByHash_.erase(CacheEvictionOrder_.back());
      CacheEvictionOrder_.pop_back();
    }
    return WasCached;
  }

  void beginTokenStream(const EngineRequestPtr &Request) {
    Request->Reply_->beginStream("text/event-stream", [Request] {
      Request->CallerDisconnected_ = true;
    });
    advanceTokenStream(Request);
  }

  void advanceTokenStream(const EngineRequestPtr &Request) {
    if (Request->CallerDisconnected_) {
      ++CancelledRequests_;
      releaseSlot(Request);
      return;
    }
    if (Request->Hung_) {
      releaseSlot(Request); // The connection stays open without further data.
      return;
    }
    const Fault *F = applicableFault(*Request);
    const std::string Mode = F == nullptr ? "" : F->Mode_;
    if (Request->NextTokenIndex_ >= Request->MaxTokens_ ||
        (Mode == "truncate" &&
         Request->NextTokenIndex_ * 2 >= Request->MaxTokens_)) {
      finishTokenStream(Request, Mode == "truncate");
      return;
    }
    sendToken(*Request, Request->NextTokenIndex_);
    if (Mode == "duplicate")
      sendToken(*Request, Request->NextTokenIndex_);
    if (Mode == "rubbish")
      Request->Reply_->sendChunk("data: }{ not json\n\n");
    ++Request->NextTokenIndex_;
    ++GeneratedTokens_;
    const double DelayFactor = Mode == "slow" ? F->SlowdownFactor_ : 1;
    // Timers count whole milliseconds; the remainder is added to the delay of
    // the next token.
    FractionalDelayMs_ += Options_.DecodeMsPerToken_ * DelayFactor;
    const auto DelayMs = static_cast<std::int64_t>(FractionalDelayMs_);
    FractionalDelayMs_ -= static_cast<double>(DelayMs);
    runAfter(Io_, DelayMs, [this, Request] { advanceTokenStream(Request); });
  }

  void sendToken(EngineRequest &Request, std::int64_t Index) {
    const std::string Text =
        fmt::format("w{} ", (Request.PromptHash_ +
                             static_cast<std::uint64_t>(Index) * 7919) %
                                99991);
    const std::string Content =
        Request.Route_ == "chat"
            ? fmt::format(R"("delta":{{"content":"{}"}})", Text)
            : fmt::format(R"("text":"{}")", Text);
    Request.Reply_->sendChunk(
        fmt::format("id: {}\ndata: {{\"choices\":[{{\"index\":0,{},"
                    "\"finish_reason\":null}}]}}\n\n",
                    Index, Content));
  }

  void finishTokenStream(const EngineRequestPtr &Request, bool Truncated) {
    if (!Truncated)
      Request->Reply_->sendChunk(fmt::format(
          "data: {{\"choices\":[{{\"index\":0,\"delta\":{{}},"
          "\"finish_reason\":\"stop\"}}],\"usage\":{{\"prompt_tokens\":{},"
          "\"cached_tokens\":{}}}}}\n\ndata: [DONE]\n\n",
          Request->PromptTokens_, Request->CachedTokens_));
    Request->Reply_->endStream();
    releaseSlot(Request);
  }

  void releaseSlot(const EngineRequestPtr &Request) {
    ActiveRequests_.erase(Request);
    if (Request->Hung_)
      HungRequests_.push_back(Request);
    --RunningCount_;
    startQueuedRequests();
  }

  asio::io_context &Io_;
  StandInOptions Options_;
  std::set<std::string> LoadedVersions_;
  std::map<std::string, Fault> FaultByVersion_; ///< Key "*": all versions.
  std::list<EngineRequestPtr> QueuedRequests_;
  std::set<EngineRequestPtr> ActiveRequests_;
  /// Kept so that their connections stay open without further data.
  std::vector<EngineRequestPtr> HungRequests_;
  /// Hashes of the cached blocks, the most recently used first.
  std::list<std::uint64_t> CacheEvictionOrder_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      CachedBlockByHash_;
  int RunningCount_ = 0;
  bool Leaving_ = false;
  bool HideLeaving_ = false;       ///< Leaves Leaving_ out of health reports.
  std::int64_t HighestEpoch_ = -1; ///< Newest fencing token of a load command.
  double FractionalDelayMs_ = 0;   ///< Remainder of token delays, below 1 ms.
  std::int64_t PromptTokens_ = 0;
  std::int64_t ComputedTokens_ = 0;
  std::int64_t GeneratedTokens_ = 0;
  std::int64_t CancelledRequests_ = 0;
  std::int64_t StartedRequests_ = 0;
  std::map<std::string, std::int64_t> StartedByVersion_;
  Json LastHealthReport_; ///< Report that /health answers with.
  std::int64_t HealthReportAtMs_ = 0;
  HttpServer HttpServer_;
};

} // namespace

void startEngine(asio::io_context &Io, const StandInOptions &Options) {
  static Engine Instance(Io, Options);
}

} // namespace standin
