// Resistant lines over recent times, and medians of relative times.
#include "speeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace endivewharf {

namespace {

/// What is assumed of one kind of time, and what is believed of it.
struct KindRules {
  TypicalTime Default_;  ///< While nothing has been measured.
  double MinSpread_ = 0; ///< Units between few and many, below which the time
                         ///< for each unit is not measured.
  double MinPerUnitMs_ = 0;
  double MaxPerUnitMs_ = 0;
};

constexpr double DefaultTokensPerMs = 80;    // of a host on the platform
constexpr double DefaultTextTokensPerMs = 8; // of an engine of our interface
constexpr double DefaultAnswerMs = 300;
constexpr double MaxPerUnitFactor = 8; // either way from the default
constexpr double DefaultLoadMs = 3;    // for each stream in flight
constexpr double MinTokenSpread = 500; // tokens
constexpr double MinLoadSpread = 4;    // streams
constexpr double MaxPauseMsPerStream = 20;

constexpr std::size_t RecentPoints = 48; // times kept of a kind
constexpr std::size_t MinPoints = 6;     // times for a line
constexpr std::size_t MinPointsForSlope =
    2; // times with few and with many units
constexpr Millis ReportAge = 3 * SpeedWindow; // ms for which a report counts
constexpr double MaxReportedSamples = 1e6;
constexpr double MaxTypicalMs = 60000;

constexpr double ClassesPerDoubling = 2;
constexpr double FirstClassLog2 = -1.75;     // lower bound of the first class
constexpr std::uint32_t MaxPackedCount = 15; // 4 bits for each class
constexpr double MinSlowness = 0.25;
constexpr double MaxSlowness = 6;
/// Measured times for which what was known of a host counts.
constexpr double KnownTrust = 8;
/// Most that a window counts: however many times it has, they are of one moment
/// of the host.
constexpr double MaxWindowWeight = 0.4;
/// Part of a host's difference from the typical one that is left after a window
/// without any time of it: half of it after 30 s.
const double UnseenDecay = std::exp2(-SpeedWindow / 30000.0);

KindRules rulesOf(TimeKind Kind, std::string_view Service) {
  const double TokensPerMs =
      Service.empty() ? DefaultTextTokensPerMs : DefaultTokensPerMs;
  switch (Kind) {
  case TimeKind::FirstEvent:
    return {{0, 1 / TokensPerMs, 0},
            MinTokenSpread,
            1 / TokensPerMs / MaxPerUnitFactor,
            MaxPerUnitFactor / TokensPerMs};
  case TimeKind::Pause:
    return {{0, 0, 0}, MinLoadSpread, 0, MaxPauseMsPerStream};
  case TimeKind::Answer:
    break;
  }
  return {{DefaultAnswerMs, 0, 0}, 1, 0, 0};
}

/// @param Values not empty
double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  const std::size_t Middle = Values.size() / 2;
  return Values.size() % 2 == 1 ? Values[Middle]
                                : (Values[Middle - 1] + Values[Middle]) / 2;
}

using Points = std::vector<ServiceSpeed::Point>;

/// Median of one coordinate over some points.
double medianOf(const Points &Some, double ServiceSpeed::Point::*Coordinate) {
  std::vector<double> Values;
  for (const ServiceSpeed::Point &P : Some)
    Values.push_back(P.*Coordinate);
  return median(std::move(Values));
}

/// Splits points in the middle of the range of their units.
std::pair<Points, Points>
splitByUnits(const std::deque<ServiceSpeed::Point> &Of) {
  const auto [Least, Most] = std::minmax_element(
      Of.begin(), Of.end(),
      [](const auto &A, const auto &B) { return A.Units_ < B.Units_; });
  const double Middle = (Least->Units_ + Most->Units_) / 2;
  std::pair<Points, Points> Halves;
  for (const ServiceSpeed::Point &P : Of)
    (P.Units_ <= Middle ? Halves.first : Halves.second).push_back(P);
  return Halves;
}

/// Fits a resistant line: the slope is that between the medians of the points
/// with few and with many units. Waits and slow hosts raise the times of both
/// alike, so they are in the base and not in the slope. The weight of the line
/// is that of its slope, which the fewer points of the two limit; a line
/// without a slope has the least.
TypicalTime fitLine(const std::deque<ServiceSpeed::Point> &Recent,
                    const KindRules &Rules) {
  const auto [Few, Many] = splitByUnits(Recent);
  TypicalTime Line{0, Rules.Default_.PerUnitMs_, 1};
  const std::size_t Fewer = std::min(Few.size(), Many.size());
  if (Fewer >= MinPointsForSlope) {
    const double Spread = medianOf(Many, &ServiceSpeed::Point::Units_) -
                          medianOf(Few, &ServiceSpeed::Point::Units_);
    const double Rise = medianOf(Many, &ServiceSpeed::Point::Ms_) -
                        medianOf(Few, &ServiceSpeed::Point::Ms_);
    if (Spread >= Rules.MinSpread_)
      Line = {0, Rise / Spread, 2.0 * static_cast<double>(Fewer)};
  }
  std::vector<double> Bases;
  for (const ServiceSpeed::Point &P : Recent)
    Bases.push_back(P.Ms_ - Line.PerUnitMs_ * P.Units_);
  Line.BaseMs_ = median(std::move(Bases));
  return Line;
}

/// Class of a time relative to the typical one.
std::size_t paceClass(double Ratio) {
  const double Class = (std::log2(Ratio) - FirstClassLog2) * ClassesPerDoubling;
  return static_cast<std::size_t>(
      std::clamp(Class, 0.0, static_cast<double>(PaceClasses - 1)));
}

std::uint32_t totalCount(const PaceCounts &Counts) {
  std::uint32_t Total = 0;
  for (const std::uint32_t Count : Counts)
    Total += Count;
  return Total;
}

/// Median of relative times, as a power of two; interpolated in its class.
/// @param Counts not all 0
double medianLog2(const PaceCounts &Counts) {
  const double Half = totalCount(Counts) / 2.0;
  double Below = 0;
  std::size_t Class = 0;
  while (Below + Counts[Class] < Half)
    Below += Counts[Class++];
  return FirstClassLog2 +
         (static_cast<double>(Class) + (Half - Below) / Counts[Class]) /
             ClassesPerDoubling;
}

/// Packs counts in 4 bits each; larger ones are reduced in proportion.
std::uint32_t packCounts(const PaceCounts &Counts) {
  const std::uint32_t Largest = *std::max_element(Counts.begin(), Counts.end());
  std::uint32_t Packed = 0;
  for (const std::uint32_t Count : Counts) {
    const std::uint32_t Reduced =
        Largest <= MaxPackedCount
            ? Count
            : (Count * MaxPackedCount + Largest / 2) / Largest;
    Packed = (Packed << 4) | Reduced;
  }
  return Packed;
}

void addPacked(PaceCounts &Counts, std::uint32_t Packed) {
  for (std::size_t I = PaceClasses; I > 0; --I) {
    Counts[I - 1] += Packed & MaxPackedCount;
    Packed >>= 4;
  }
}

bool isBetween(double Value, double Least, double Most) {
  return Value >= Least && Value <= Most; // false for NaN
}

/// @return true if a line that a peer has sent may be used
bool isPlausible(const TypicalTimeRow &Row) {
  return Row.Kind_ >= 0 && Row.Kind_ < static_cast<int>(TimeKindCount) &&
         isBetween(Row.BaseMs_, -MaxTypicalMs, MaxTypicalMs) &&
         isBetween(Row.PerUnitMs_, -MaxTypicalMs, MaxTypicalMs) &&
         isBetween(Row.Samples_, 1, MaxReportedSamples);
}

/// Means of lines, weighted by the times behind them.
class LineSums {
public:
  void add(const TypicalTimeRow &Row) {
    TypicalTimeRow &Sum = Sums_[{Row.Service_, Row.Kind_}];
    Sum.BaseMs_ += Row.BaseMs_ * Row.Samples_;
    Sum.PerUnitMs_ += Row.PerUnitMs_ * Row.Samples_;
    Sum.Samples_ += Row.Samples_;
  }

  std::vector<TypicalTimeRow> means() const {
    std::vector<TypicalTimeRow> Rows;
    for (const auto &[Key, Sum] : Sums_)
      Rows.push_back({Key.first, Key.second, Sum.BaseMs_ / Sum.Samples_,
                      Sum.PerUnitMs_ / Sum.Samples_, Sum.Samples_});
    return Rows;
  }

private:
  std::map<std::pair<std::string, int>, TypicalTimeRow> Sums_;
};

/// Adds the lines of the times measured here.
void addOwnLines(const SpeedState &S, LineSums &Lines) {
  for (const auto &[Service, Speed] : S.Services_)
    for (std::size_t Kind = 0; Kind < TimeKindCount; ++Kind) {
      if (Speed.Recent_[Kind].size() < MinPoints)
        continue;
      const TypicalTime Line = fitLine(
          Speed.Recent_[Kind], rulesOf(static_cast<TimeKind>(Kind), Service));
      Lines.add({Service, static_cast<int>(Kind), Line.BaseMs_, Line.PerUnitMs_,
                 Line.Samples_});
    }
}

/// Moves a host's slowness towards a window's median, the more the more times
/// the window has. Without any it moves towards the typical one, so that a host
/// that gets no work because it was slow is tried again.
void updateSlowness(UpstreamSpeed &Speed, const PaceCounts &Counts) {
  const double Known = std::log2(Speed.Slowness_);
  const double Count = totalCount(Counts);
  const double Weight = std::min(MaxWindowWeight, Count / (Count + KnownTrust));
  const double Next = Count == 0
                          ? Known * UnseenDecay
                          : Known + Weight * (medianLog2(Counts) - Known);
  Speed.Slowness_ = std::clamp(std::exp2(Next), MinSlowness, MaxSlowness);
}

/// Limits are applied to the mean of all lines only: applied to each, they
/// would cut off the errors of one side.
void learnLines(SpeedState &S, const SpeedReport &Total,
                const HostHashes &Hosts) {
  for (const TypicalTimeRow &Row : Total.Services_) {
    if (!isPlausible(Row) || Hosts.count(Row.Service_) == 0)
      continue;
    const KindRules Rules =
        rulesOf(static_cast<TimeKind>(Row.Kind_), Row.Service_);
    S.Services_[Row.Service_].Typical_[static_cast<std::size_t>(Row.Kind_)] = {
        std::max(0.0, Row.BaseMs_),
        std::clamp(Row.PerUnitMs_, Rules.MinPerUnitMs_, Rules.MaxPerUnitMs_),
        Row.Samples_};
  }
}

} // namespace

double slowness(const SpeedState &S, std::uint32_t UpstreamHash) {
  const auto Found = S.Upstreams_.find(UpstreamHash);
  return Found == S.Upstreams_.end() ? 1 : Found->second.Slowness_;
}

TypicalTime typicalTime(const SpeedState &S, TimeKind Kind,
                        std::string_view Service) {
  const auto Found = S.Services_.find(Service);
  if (Found != S.Services_.end()) {
    const TypicalTime &Learnt =
        Found->second.Typical_[static_cast<std::size_t>(Kind)];
    if (Learnt.Samples_ > 0)
      return Learnt;
  }
  return rulesOf(Kind, Service).Default_;
}

double typicalPromptMs(const SpeedState &S, std::string_view Service,
                       double Tokens) {
  return typicalTime(S, TimeKind::FirstEvent, Service).PerUnitMs_ * Tokens;
}

double promptMs(const SpeedState &S, std::string_view Service,
                std::uint32_t UpstreamHash, double Tokens) {
  return typicalPromptMs(S, Service, Tokens) * slowness(S, UpstreamHash);
}

double baseMs(const SpeedState &S, TimeKind Kind, std::string_view Service,
              std::uint32_t UpstreamHash) {
  return typicalTime(S, Kind, Service).BaseMs_ * slowness(S, UpstreamHash);
}

double loadDelayMs(const SpeedState &S, std::uint32_t UpstreamHash,
                   double Streams) {
  return DefaultLoadMs * Streams * slowness(S, UpstreamHash);
}

SlownessRange slownessRange(const SpeedState &S,
                            std::span<const std::uint32_t> Hosts) {
  if (Hosts.empty())
    return {};
  std::vector<double> Values;
  for (const std::uint32_t Hash : Hosts)
    Values.push_back(slowness(S, Hash));
  const auto [Least, Largest] =
      std::minmax_element(Values.begin(), Values.end());
  return {*Least, median(Values), *Largest};
}

void recordTime(SpeedState &S, const TimeSample &Sample) {
  auto Service = S.Services_.find(Sample.Service_);
  if (Service == S.Services_.end())
    Service = S.Services_.try_emplace(std::string(Sample.Service_)).first;
  auto &Recent =
      Service->second.Recent_[static_cast<std::size_t>(Sample.Kind_)];
  Recent.push_back({Sample.Units_, std::max(0.0, Sample.Ms_ - Sample.WaitMs_)});
  if (Recent.size() > RecentPoints)
    Recent.pop_front();

  const TypicalTime Typical = typicalTime(S, Sample.Kind_, Sample.Service_);
  if (Typical.Samples_ == 0)
    return;
  // The expected wait is that of this host, the typical time that of any.
  const double Expected = Typical.BaseMs_ + Typical.PerUnitMs_ * Sample.Units_ +
                          Sample.WaitMs_ / slowness(S, Sample.UpstreamHash_);
  // Clocks have a resolution of 1 ms, so shorter times say nothing.
  if (Expected >= 1)
    ++S.Upstreams_[Sample.UpstreamHash_]
          .Present_[paceClass(std::max(Sample.Ms_, 0.1) / Expected)];
}

void keepSpeedReport(SpeedState &S, const std::string &Peer, SpeedReport Report,
                     Millis Now) {
  if (Report.Upstreams_.empty() && Report.Services_.empty())
    return; // Only some summaries carry one.
  S.Reports_[Peer] = {std::move(Report), Now};
}

SpeedReport totalSpeeds(const SpeedState &S, std::span<const std::string> Peers,
                        Millis Now) {
  std::unordered_map<std::uint32_t, PaceCounts> Counts;
  LineSums Lines;
  for (const auto &[Hash, Speed] : S.Upstreams_)
    if (totalCount(Speed.Last_) > 0)
      Counts[Hash] = Speed.Last_;
  addOwnLines(S, Lines);
  for (const std::string &Peer : Peers) {
    const auto Found = S.Reports_.find(Peer);
    if (Found == S.Reports_.end() || Now - Found->second.At_ > ReportAge)
      continue;
    for (const SpeedRow &Row : Found->second.Report_.Upstreams_)
      addPacked(Counts[Row.UpstreamHash_], Row.Counts_);
    for (const TypicalTimeRow &Row : Found->second.Report_.Services_)
      if (isPlausible(Row))
        Lines.add(Row);
  }
  SpeedReport Total;
  for (const auto &[Hash, Sum] : Counts)
    Total.Upstreams_.push_back({Hash, packCounts(Sum)});
  Total.Services_ = Lines.means();
  return Total;
}

void endSpeedWindow(SpeedState &S, Millis Now) {
  S.WindowBeganAt_ = Now;
  for (auto &[Hash, Speed] : S.Upstreams_)
    Speed.Last_ = std::exchange(Speed.Present_, {});
  std::erase_if(S.Reports_, [&](const auto &Entry) {
    return Now - Entry.second.At_ > ReportAge;
  });
}

void learnSpeeds(SpeedState &S, const SpeedReport &Total,
                 const HostHashes &Hosts) {
  learnLines(S, Total, Hosts);
  std::unordered_map<std::uint32_t, PaceCounts> Counts;
  for (const SpeedRow &Row : Total.Upstreams_)
    addPacked(Counts[Row.UpstreamHash_], Row.Counts_);
  std::unordered_map<std::uint32_t, UpstreamSpeed> Kept;
  for (const auto &[Service, Hashes] : Hosts)
    for (const std::uint32_t Hash : Hashes) {
      UpstreamSpeed Speed = S.Upstreams_[Hash];
      updateSlowness(Speed, Counts[Hash]);
      Kept.emplace(Hash, Speed);
    }
  S.Upstreams_ = std::move(Kept);
}

} // namespace endivewharf
