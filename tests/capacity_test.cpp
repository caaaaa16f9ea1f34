// Checks that the table in docs/CAPACITY.md is the one that results from the
// slopes in docs/capacity.json.
#include "capacity.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace endivewharf::bench {

namespace {

std::string readSourceFile(const std::string &Path) {
  std::ifstream Stream(std::string(SOURCE_DIR) + "/" + Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace

TEST(CapacityTest, page_tableAndSlopes_agree) {
  const Slopes Measured = slopesFromJson(readSourceFile("docs/capacity.json"));
  const std::string Table = renderCapacity(Measured);
  EXPECT_NE(readSourceFile("docs/CAPACITY.md").find(Table), std::string::npos)
      << "docs/CAPACITY.md has to contain this table:\n"
      << Table;
}

} // namespace endivewharf::bench
