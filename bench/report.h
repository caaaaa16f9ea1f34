// Figures of a bench: several seeds, median and worst, as key=value and JSON.
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
  double valueOrZero(const std::string &Key) const;

private:
  std::vector<std::pair<std::string, double>> Values_;
};

/// Runs a bench once for each seed and prints median and worst of each figure.
/// @param Name title
/// @param Seeds number of seeds, from 1 on
/// @param Run one run
/// @param LowIsWorse figures whose worst is the smallest
/// @return medians by key
std::map<std::string, double>
runSeeds(const std::string &Name, int Seeds,
         const std::function<Figures(std::uint64_t Seed)> &Run,
         const std::vector<std::string> &LowIsWorse = {});

/// Writes all figures reported so far as JSON.
void writeFiguresJson(const std::string &Path);

/// Least squares fit y = base + slope * x.
struct LineFit {
  double Intercept_ = 0;
  double Slope_ = 0;
  double MaxRelativeResidual_ =
      0; ///< Largest deviation, as a share of the largest y.
};
LineFit fitLine(const std::vector<std::pair<double, double>> &Points);

double quantile(std::vector<double> Values, double Q);

} // namespace endivewharf::bench
