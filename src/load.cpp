// Poisson arrivals from a fixed seed, several accounts of unequal size, shared
// prompt beginnings; waits for every answer and reports.
#include "load.h"

#include "caller.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>

namespace endivewharf {

namespace {

using Json = nlohmann::json;

double quantile(std::vector<double> Values, double Q) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(std::lround(Q * Last))];
}

class LoadGenerator {
public:
  explicit LoadGenerator(const LoadGeneratorOptions &Options)
      : Options_(Options), Client_(Io_), RandomGenerator_(Options.Seed_),
        ArrivalTimer_(Io_) {}

  int run() {
    StartedAt_ = monotonicNow();
    scheduleNextRequest();
    Io_.run();
    printReport();
    return Wrong_ == 0 && Lost_ == 0 ? 0 : 1;
  }

private:
  void scheduleNextRequest() {
    const double Elapsed =
        static_cast<double>(monotonicNow() - StartedAt_) / 1000;
    if (Elapsed >= Options_.DurationSeconds_) {
      ArrivalsEnded_ = true;
      stopIfDone();
      return;
    }
    std::exponential_distribution<double> Gap(Options_.RequestsPerSecond_);
    NextArrivalSeconds_ += Gap(RandomGenerator_);
    const double Wait = std::max(0.0, NextArrivalSeconds_ - Elapsed);
    ArrivalTimer_.expires_after(
        std::chrono::microseconds(static_cast<std::int64_t>(Wait * 1e6)));
    ArrivalTimer_.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      sendRequest();
      scheduleNextRequest();
    });
  }

  double randomFraction() {
    return std::uniform_real_distribution<>(0, 1)(RandomGenerator_);
  }

  /// The first account gets half of the calls, the next half of the rest.
  std::size_t pickAccount() {
    std::size_t I = 0;
    while (I + 1 < Options_.ApiKeys_.size() && randomFraction() < 0.5)
      ++I;
    return I;
  }

  std::string makePrompt() {
    const int Prefix = static_cast<int>(
        randomFraction() * std::max(1, Options_.PromptPrefixCount_));
    std::string Prompt;
    for (int I = 0; I < Options_.PromptWords_; ++I)
      Prompt += fmt::format("lot{}x{} ", Prefix, I);
    return Prompt + fmt::format("question {}", SentRequests_);
  }

  void sendRequest() {
    CallerRequest Request;
    Request.ApiKey_ = Options_.ApiKeys_[pickAccount()];
    Request.RequestId_ = fmt::format(
        "load-{:x}-{}", Options_.Seed_ * 7919 + StartedAt_, SentRequests_);
    const bool Booking =
        !Options_.Service_.empty() && randomFraction() < Options_.BookingShare_;
    if (Booking) {
      Request.ServicePath_ =
          fmt::format("/svc/{}{}", Options_.Service_, Options_.ServicePath_);
      Request.IdempotencyKey_ = Request.RequestId_;
      Request.Body_ = "{}";
      Request.RetryAfterRefusal_ = true;
    } else {
      Request.Model_ = Options_.Model_;
      Request.Prompt_ = makePrompt();
      Request.MaxTokens_ = Options_.MaxTokens_;
      if (randomFraction() < Options_.BatchShare_)
        Request.Priority_ = "batch";
    }
    auto Addresses = Options_.Addresses_;
    std::rotate(Addresses.begin(),
                Addresses.begin() + static_cast<std::ptrdiff_t>(
                                        SentRequests_ % Addresses.size()),
                Addresses.end());
    ++SentRequests_;
    ++InFlight_;
    runCallerRequest(
        Io_, Client_, std::move(Addresses), std::move(Request),
        [this, Booking](const CallerResult &R) { recordResult(R, Booking); });
  }

  void recordResult(const CallerResult &R, bool Booking) {
    --InFlight_;
    if (R.Answered_)
      ++(Booking ? Booked_ : Answered_);
    else if (!R.ErrorType_.empty())
      ++RefusedByErrorType_[R.ErrorType_];
    else
      ++Lost_;
    Wrong_ += R.TokenSequenceWrong_ ? 1 : 0;
    Resumes_ += R.Resumes_;
    Tokens_ += R.Tokens_;
    if (R.FirstTokenMs_ >= 0)
      FirstTokenTimesMs_.push_back(R.FirstTokenMs_);
    TokenGapsMs_.insert(TokenGapsMs_.end(), R.TokenGapsMs_.begin(),
                        R.TokenGapsMs_.end());
    stopIfDone();
  }

  void stopIfDone() {
    if (ArrivalsEnded_ && InFlight_ == 0)
      Io_.stop();
  }

  void printReport() const {
    Json Body = {{"requests", SentRequests_},
                 {"answered", Answered_},
                 {"booked", Booked_},
                 {"refused", RefusedByErrorType_},
                 {"lost", Lost_},
                 {"wrong", Wrong_},
                 {"resumed", Resumes_},
                 {"tokens", Tokens_},
                 {"first_token_ms_p50", quantile(FirstTokenTimesMs_, 0.5)},
                 {"first_token_ms_p95", quantile(FirstTokenTimesMs_, 0.95)},
                 {"first_token_ms_p99", quantile(FirstTokenTimesMs_, 0.99)},
                 {"inter_token_ms_p50", quantile(TokenGapsMs_, 0.5)},
                 {"inter_token_ms_p95", quantile(TokenGapsMs_, 0.95)},
                 {"inter_token_ms_p99", quantile(TokenGapsMs_, 0.99)}};
    if (Options_.ReportAsJson_) {
      fmt::print("{}\n", Body.dump());
      return;
    }
    for (const auto &[Key, Value] : Body.items())
      fmt::print("{}={}\n", Key, Value.dump());
  }

  LoadGeneratorOptions Options_;
  asio::io_context Io_{1};
  HttpClient Client_;
  std::mt19937_64 RandomGenerator_;
  asio::steady_timer ArrivalTimer_;
  Millis StartedAt_ = 0;
  double NextArrivalSeconds_ = 0;
  bool ArrivalsEnded_ = false;
  std::size_t SentRequests_ = 0;
  int InFlight_ = 0;
  int Answered_ = 0;
  int Booked_ = 0;
  int Lost_ = 0;
  int Wrong_ = 0;
  int Resumes_ = 0;
  std::int64_t Tokens_ = 0;
  std::map<std::string, int> RefusedByErrorType_;
  std::vector<double> FirstTokenTimesMs_;
  std::vector<double> TokenGapsMs_;
};

} // namespace

int runLoadGenerator(const LoadGeneratorOptions &Options) {
  return LoadGenerator(Options).run();
}

} // namespace endivewharf
