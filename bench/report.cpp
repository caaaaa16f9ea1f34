// Medians, worsts and straight lines.
#include "report.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace endivewharf::bench {

namespace {

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
         const std::vector<std::string> &LowIsWorse) {
  std::vector<std::string> Order;
  std::map<std::string, std::vector<double>> Values;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    const Figures One = Run(static_cast<std::uint64_t>(Seed));
    for (const auto &[Key, Value] : One.values()) {
      if (Values.count(Key) == 0)
        Order.push_back(Key);
      Values[Key].push_back(Value);
    }
  }
  std::map<std::string, double> Medians;
  for (const std::string &Key : Order) {
    std::vector<double> &V = Values[Key];
    std::sort(V.begin(), V.end());
    const bool Low = std::find(LowIsWorse.begin(), LowIsWorse.end(), Key) !=
                     LowIsWorse.end();
    const double Median = V[V.size() / 2];
    const double Worst = Low ? V.front() : V.back();
    Medians[Key] = Median;
    fmt::print("{}_{}={:.4g} worst={:.4g} seeds={}\n", Name, Key, Median, Worst,
               V.size());
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
  double X = 0;
  double Y = 0;
  double XX = 0;
  double XY = 0;
  double Largest = 0;
  for (const auto &[A, B] : Points) {
    X += A;
    Y += B;
    XX += A * A;
    XY += A * B;
    Largest = std::max(Largest, std::abs(B));
  }
  LineFit Fit;
  const double Spread = N * XX - X * X;
  Fit.Slope_ = Spread == 0 ? 0 : (N * XY - X * Y) / Spread;
  Fit.Intercept_ = (Y - Fit.Slope_ * X) / N;
  for (const auto &[A, B] : Points)
    Fit.MaxRelativeResidual_ =
        std::max(Fit.MaxRelativeResidual_,
                 std::abs(Fit.Intercept_ + Fit.Slope_ * A - B) /
                     std::max(Largest, 1e-12));
  return Fit;
}

double quantile(std::vector<double> Values, double Q) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const double Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(std::lround(Q * Last))];
}

} // namespace endivewharf::bench
