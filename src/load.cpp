// Open-loop load generator. Requests arrive as a Poisson process from a fixed
// seed, belong to accounts of unequal size and share prompt prefixes. The
// generator waits for every outcome before it prints its report.
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

/// @param Probability 0 to 1
/// @return the value of the nearest rank; 0 if there are no values
double quantile(std::vector<double> Values, double Probability) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto LastIndex = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(std::lround(Probability * LastIndex))];
}

/// One run of the load generator.
class LoadGenerator {
public:
  explicit LoadGenerator(const LoadGeneratorOptions &Options)
      : Options_(Options), Client_(Io_), RandomGenerator_(Options.Seed_),
        ArrivalTimer_(Io_) {}

  /// Sends the load, waits for every outcome and prints the report.
  /// @return exit code of the process
  int run() {
    StartedAt_ = monotonicNow();
    scheduleNextRequest();
    Io_.run();
    printReport();
    return WrongAnswers_ == 0 && LostRequests_ == 0 ? 0 : 1;
  }

private:
  /// Sets the timer for the next arrival. Arrival times do not depend on
  /// answers, so that a slow system doesn't lower the load.
  void scheduleNextRequest() {
    const double ElapsedSeconds =
        static_cast<double>(monotonicNow() - StartedAt_) / 1000;
    if (ElapsedSeconds >= Options_.DurationSeconds_) {
      ArrivalsEnded_ = true;
      stopIfDone();
      return;
    }
    std::exponential_distribution<double> ArrivalGap(
        Options_.RequestsPerSecond_);
    NextArrivalSeconds_ += ArrivalGap(RandomGenerator_);
    const double WaitSeconds =
        std::max(0.0, NextArrivalSeconds_ - ElapsedSeconds);
    ArrivalTimer_.expires_after(std::chrono::microseconds(
        static_cast<std::int64_t>(WaitSeconds * 1e6)));
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

  /// Chooses the first account for half of the requests, the next one for half
  /// of the rest, and the last one for all that remain.
  /// @return index of the account's API key
  std::size_t pickAccount() {
    std::size_t I = 0;
    while (I + 1 < Options_.ApiKeys_.size() && randomFraction() < 0.5)
      ++I;
    return I;
  }

  /// @return a prompt with one of the shared prefixes and a unique end
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
    const bool IsBooking = !Options_.Service_.empty() &&
                           randomFraction() < Options_.BookingFraction_;
    if (IsBooking) {
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
    runCallerRequest(Io_, Client_, std::move(Addresses), std::move(Request),
                     [this, IsBooking](const CallerResult &Result) {
                       recordResult(Result, IsBooking);
                     });
  }

  /// Adds the outcome of one request to the totals.
  void recordResult(const CallerResult &Result, bool IsBooking) {
    --InFlight_;
    if (Result.Answered_)
      ++(IsBooking ? Booked_ : Answered_);
    else if (!Result.ErrorType_.empty())
      ++RefusedByErrorType_[Result.ErrorType_];
    else
      ++LostRequests_;
    WrongAnswers_ += Result.TokenSequenceWrong_ ? 1 : 0;
    Resumes_ += Result.Resumes_;
    Tokens_ += Result.Tokens_;
    if (Result.FirstTokenMs_ >= 0)
      FirstTokenTimesMs_.push_back(Result.FirstTokenMs_);
    TokenGapsMs_.insert(TokenGapsMs_.end(), Result.TokenGapsMs_.begin(),
                        Result.TokenGapsMs_.end());
    stopIfDone();
  }

  /// Ends the run if all requests have been sent and have an outcome.
  void stopIfDone() {
    if (ArrivalsEnded_ && InFlight_ == 0)
      Io_.stop();
  }

  void printReport() const {
    Json Body = {{"requests", SentRequests_},
                 {"answered", Answered_},
                 {"booked", Booked_},
                 {"refused", RefusedByErrorType_},
                 {"lost", LostRequests_},
                 {"wrong", WrongAnswers_},
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
  int Answered_ = 0;     ///< Answered completions.
  int Booked_ = 0;       ///< Answered bookings.
  int LostRequests_ = 0; ///< Requests without an answer or an error.
  int WrongAnswers_ = 0; ///< Answers with a wrong token sequence.
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
