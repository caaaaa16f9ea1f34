// Collects the figures of a bench over several seeds and reports median and
// worst value as key=value lines and as JSON.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace endivewharf::bench {

/// Figures of one run, in the order in which they were added.
class Figures {
public:
  void add(const std::string &Key, double Value);
  const std::vector<std::pair<std::string, double>> &values() const {
    return Values_;
  }
  /// @return value of the figure, or 0 if there is none of this name
  double valueOrZero(const std::string &Key) const;

private:
  std::vector<std::pair<std::string, double>> Values_;
};

/// Runs a bench once for each seed and prints median and worst of each figure.
/// @param Name prefix of the printed keys
/// @param Seeds number of runs; their seeds are 1 to Seeds
/// @param Run executes one run and returns its figures
/// @param LowerIsWorse keys whose worst value is the smallest one
/// @return median by key; the upper median if the number of values is even
std::map<std::string, double>
runSeeds(const std::string &Name, int Seeds,
         const std::function<Figures(std::uint64_t Seed)> &Run,
         const std::vector<std::string> &LowerIsWorse = {});

/// Writes all figures reported so far as JSON; does nothing if Path is empty.
void writeFiguresJson(const std::string &Path);

/// Least-squares line y = intercept + slope * x.
struct LineFit {
  double Intercept_ = 0;
  double Slope_ = 0;
  /// Largest distance of a point from the line, as a fraction of the largest
  /// |y|.
  double MaxRelativeResidual_ = 0;
};

/// Fits a line to points (x, y). The slope is 0 if all x are equal.
LineFit fitLine(const std::vector<std::pair<double, double>> &Points);

/// @param Values values in any order
/// @param Fraction 0 for the smallest value, 0.5 for the median, 1 for the
/// largest
/// @return value of the nearest rank, or 0 if there are no values
double quantile(std::vector<double> Values, double Fraction);

} // namespace endivewharf::bench
