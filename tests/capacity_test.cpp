// The capacity page says what its slopes come to.
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
  const Slopes From = slopesFromJson(readSourceFile("docs/capacity.json"));
  const std::string Table = renderCapacity(From);
  EXPECT_NE(readSourceFile("docs/CAPACITY.md").find(Table), std::string::npos)
      << "the page's table should be:\n"
      << Table;
}

} // namespace endivewharf::bench
