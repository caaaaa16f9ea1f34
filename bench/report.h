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
  const std::vector<std::pair<std::string, double>> &all() const {
    return All_;
  }
  double at(const std::string &Key) const;

private:
  std::vector<std::pair<std::string, double>> All_;
};

/// Runs a bench once for each seed and prints median and worst of each figure.
/// @param Name title
/// @param Seeds number of seeds, from 1 on
/// @param Run one run
/// @param LowIsWorse figures whose worst is the smallest
/// @return medians by key
std::map<std::string, double>
report(const std::string &Name, int Seeds,
       const std::function<Figures(std::uint64_t Seed)> &Run,
       const std::vector<std::string> &LowIsWorse = {});

/// Writes all figures reported so far as JSON.
void writeJson(const std::string &Path);

/// Least squares fit y = base + slope * x.
struct Line {
  double Base_ = 0;
  double Slope_ = 0;
  double Residual_ = 0; ///< Largest deviation, as a share of the largest y.
};
Line fitLine(const std::vector<std::pair<double, double>> &Points);

double quantile(std::vector<double> Values, double Q);

} // namespace endivewharf::bench
