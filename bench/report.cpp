// Median and worst value over seeds, quantiles and least-squares lines.
#include "report.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace endivewharf::bench {

namespace {

/// Figures of all runSeeds() calls: name, then key, then median and worst.
nlohmann::json &figuresJson() {
  static nlohmann::json All = nlohmann::json::object();
  return All;
}

} // namespace

void Figures::add(const std::string &Key, double Value) {
  Values_.emplace_back(Key, Value);
}

double Figures::valueOrZero(const std::string &Key) const {
  for (const auto &[Name, Value] : Values_)
    if (Name == Key)
      return Value;
  return 0;
}

std::map<std::string, double>
runSeeds(const std::string &Name, int Seeds,
         const std::function<Figures(std::uint64_t Seed)> &Run,
         const std::vector<std::string> &LowerIsWorse) {
  std::vector<std::string> Order;
  std::map<std::string, std::vector<double>> Values;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    const Figures RunFigures = Run(static_cast<std::uint64_t>(Seed));
    for (const auto &[Key, Value] : RunFigures.values()) {
      if (Values.count(Key) == 0)
        Order.push_back(Key);
      Values[Key].push_back(Value);
    }
  }
  std::map<std::string, double> Medians;
  for (const std::string &Key : Order) {
    std::vector<double> &Sorted = Values[Key];
    std::sort(Sorted.begin(), Sorted.end());
    const bool IsLowerWorse =
        std::find(LowerIsWorse.begin(), LowerIsWorse.end(), Key) !=
        LowerIsWorse.end();
    const double Median = Sorted[Sorted.size() / 2];
    const double Worst = IsLowerWorse ? Sorted.front() : Sorted.back();
    Medians[Key] = Median;
    fmt::print("{}_{}={:.4g} worst={:.4g} seeds={}\n", Name, Key, Median, Worst,
               Sorted.size());
    figuresJson()[Name][Key] = {{"median", Median}, {"worst", Worst}};
  }
  std::fflush(stdout);
  return Medians;
}

void writeFiguresJson(const std::string &Path) {
  if (!Path.empty())
    std::ofstream(Path) << figuresJson().dump(2) << "\n";
}

LineFit fitLine(const std::vector<std::pair<double, double>> &Points) {
  const double N = static_cast<double>(Points.size());
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  double MaxAbsY = 0;
  for (const auto &[X, Y] : Points) {
    SumX += X;
    SumY += Y;
    SumXX += X * X;
    SumXY += X * Y;
    MaxAbsY = std::max(MaxAbsY, std::abs(Y));
  }
  LineFit Fit;
  const double Denominator = N * SumXX - SumX * SumX;
  Fit.Slope_ = Denominator == 0 ? 0 : (N * SumXY - SumX * SumY) / Denominator;
  Fit.Intercept_ = (SumY - Fit.Slope_ * SumX) / N;
  for (const auto &[X, Y] : Points)
    Fit.MaxRelativeResidual_ =
        std::max(Fit.MaxRelativeResidual_,
                 std::abs(Fit.Intercept_ + Fit.Slope_ * X - Y) /
                     std::max(MaxAbsY, 1e-12));
  return Fit;
}

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const double LastIndex = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(std::lround(Fraction * LastIndex))];
}

} // namespace endivewharf::bench
