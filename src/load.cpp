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

class LoadRun {
public:
  explicit LoadRun(const LoadOptions &Options)
      : Options_(Options), Client_(Io_), Random_(Options.Seed_), Arrival_(Io_) {
  }

  int run() {
    Begin_ = monotonicNow();
    schedule();
    Io_.run();
    report();
    return Wrong_ == 0 && Lost_ == 0 ? 0 : 1;
  }

private:
  void schedule() {
    const double Elapsed = static_cast<double>(monotonicNow() - Begin_) / 1000;
    if (Elapsed >= Options_.Seconds_) {
      Closing_ = true;
      stopIfDone();
      return;
    }
    std::exponential_distribution<double> Gap(Options_.Rate_);
    NextAt_ += Gap(Random_);
    const double Wait = std::max(0.0, NextAt_ - Elapsed);
    Arrival_.expires_after(
        std::chrono::microseconds(static_cast<std::int64_t>(Wait * 1e6)));
    Arrival_.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      issue();
      schedule();
    });
  }

  double chance() { return std::uniform_real_distribution<>(0, 1)(Random_); }

  /// The first account gets half of the calls, the next half of the rest.
  std::size_t pickAccount() {
    std::size_t I = 0;
    while (I + 1 < Options_.Keys_.size() && chance() < 0.5)
      ++I;
    return I;
  }

  std::string makePrompt() {
    const int Prefix =
        static_cast<int>(chance() * std::max(1, Options_.Prefixes_));
    std::string Prompt;
    for (int I = 0; I < Options_.PromptWords_; ++I)
      Prompt += fmt::format("lot{}x{} ", Prefix, I);
    return Prompt + fmt::format("question {}", Issued_);
  }

  void issue() {
    CallerRequest Request;
    Request.ApiKey_ = Options_.Keys_[pickAccount()];
    Request.RequestId_ =
        fmt::format("load-{:x}-{}", Options_.Seed_ * 7919 + Begin_, Issued_);
    const bool Booking =
        !Options_.Service_.empty() && chance() < Options_.BookingShare_;
    if (Booking) {
      Request.ServicePath_ =
          fmt::format("/svc/{}{}", Options_.Service_, Options_.ServicePath_);
      Request.IdempotencyKey_ = Request.RequestId_;
      Request.Body_ = "{}";
      Request.RetryRefused_ = true;
    } else {
      Request.Model_ = Options_.Model_;
      Request.Prompt_ = makePrompt();
      Request.MaxTokens_ = Options_.MaxTokens_;
      if (chance() < Options_.BatchShare_)
        Request.Priority_ = "batch";
    }
    auto Addresses = Options_.Addresses_;
    std::rotate(Addresses.begin(),
                Addresses.begin() +
                    static_cast<std::ptrdiff_t>(Issued_ % Addresses.size()),
                Addresses.end());
    ++Issued_;
    ++Open_;
    runCaller(Io_, Client_, std::move(Addresses), std::move(Request),
              [this, Booking](const CallerResult &R) { collect(R, Booking); });
  }

  void collect(const CallerResult &R, bool Booking) {
    --Open_;
    if (R.Answered_)
      ++(Booking ? Booked_ : Answered_);
    else if (!R.ErrorType_.empty())
      ++Refused_[R.ErrorType_];
    else
      ++Lost_;
    Wrong_ += R.Wrong_ ? 1 : 0;
    Resumes_ += R.Resumes_;
    Tokens_ += R.Tokens_;
    if (R.FirstTokenMs_ >= 0)
      FirstToken_.push_back(R.FirstTokenMs_);
    Gaps_.insert(Gaps_.end(), R.GapsMs_.begin(), R.GapsMs_.end());
    stopIfDone();
  }

  void stopIfDone() {
    if (Closing_ && Open_ == 0)
      Io_.stop();
  }

  void report() const {
    Json Body = {{"requests", Issued_},
                 {"answered", Answered_},
                 {"booked", Booked_},
                 {"refused", Refused_},
                 {"lost", Lost_},
                 {"wrong", Wrong_},
                 {"resumed", Resumes_},
                 {"tokens", Tokens_},
                 {"first_token_ms_p50", quantile(FirstToken_, 0.5)},
                 {"first_token_ms_p95", quantile(FirstToken_, 0.95)},
                 {"first_token_ms_p99", quantile(FirstToken_, 0.99)},
                 {"inter_token_ms_p50", quantile(Gaps_, 0.5)},
                 {"inter_token_ms_p95", quantile(Gaps_, 0.95)},
                 {"inter_token_ms_p99", quantile(Gaps_, 0.99)}};
    if (Options_.Json_) {
      fmt::print("{}\n", Body.dump());
      return;
    }
    for (const auto &[Key, Value] : Body.items())
      fmt::print("{}={}\n", Key, Value.dump());
  }

  LoadOptions Options_;
  asio::io_context Io_{1};
  HttpClient Client_;
  std::mt19937_64 Random_;
  asio::steady_timer Arrival_;
  Millis Begin_ = 0;
  double NextAt_ = 0;
  bool Closing_ = false;
  std::size_t Issued_ = 0;
  int Open_ = 0;
  int Answered_ = 0;
  int Booked_ = 0;
  int Lost_ = 0;
  int Wrong_ = 0;
  int Resumes_ = 0;
  std::int64_t Tokens_ = 0;
  std::map<std::string, int> Refused_;
  std::vector<double> FirstToken_;
  std::vector<double> Gaps_;
};

} // namespace

int runLoad(const LoadOptions &Options) { return LoadRun(Options).run(); }

} // namespace endivewharf
