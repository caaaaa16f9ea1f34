// Shared test fixture of the tests on the fakes.
#include "fixture.h"

namespace endivewharf::fakes {

int WorldTest::leaseHolder() const {
  int Holder = -1;
  for (int I = 0; I < World_->entryCount(); ++I) {
    const LeaseState &Lease = World_->state(I).Lease_;
    const bool Holds = Lease.Holder_ == World_->state(I).Self_ &&
                       World_->now() < Lease.HeldUntil_;
    if (!World_->entry(I).Alive_ || !Holds)
      continue;
    EXPECT_EQ(Holder, -1) << "two processes hold the lease";
    Holder = I;
  }
  return Holder;
}

} // namespace endivewharf::fakes
