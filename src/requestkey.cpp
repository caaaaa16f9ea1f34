#include "requestkey.h"

#include <algorithm>
#include <xxhash.h>

namespace endivewharf {

std::uint64_t requestKey(const CallRequest &Request, std::string_view Caller) {
  std::uint64_t Hash = 0;
  // Each text is hashed by itself, so its borders count.
  const auto Add = [&Hash](std::string_view Text) {
    Hash = XXH3_64bits_withSeed(Text.data(), Text.size(), Hash);
  };
  Add(Caller);
  Add(Request.Method_);
  Add(Request.Host_);
  Add(Request.Path_);
  Add(Request.Body_);
  Add(Request.Model_);
  for (const PromptPart &Part : Request.PromptParts_)
    Add(Part.Id_);
  return std::max<std::uint64_t>(1, Hash); // 0 stands for no key.
}

} // namespace endivewharf
