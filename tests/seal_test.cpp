// What the seal lets through: only what is under a key of ours, once.
#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include "membership_transport/message_authenticator.h"

namespace rainhook::membershipTransport {
namespace {

SealKey key(unsigned char first) {
  SealKey out{};
  out[0] = first;
  return out;
}
std::string text(const std::optional<std::string_view>& opened) {
  return opened ? std::string(*opened) : "nothing";
}

TEST(Seal, OpensOnceInAnyOrderAndNothingOld) {
  MessageAuthenticator from({key(1)}, 7), to({key(1)}, 8);
  std::vector<std::string> sealed;
  for (int i = 0; i < 2000; ++i) sealed.push_back(from.sealed(std::to_string(i)));
  EXPECT_EQ(text(to.opened(sealed[5])), "5");
  EXPECT_EQ(text(to.opened(sealed[3])), "3");
  EXPECT_EQ(text(to.opened(sealed[3])), "nothing");
  EXPECT_EQ(text(to.opened(sealed[1500])), "1500");
  EXPECT_EQ(text(to.opened(sealed[5])), "nothing");    // seen
  EXPECT_EQ(text(to.opened(sealed[100])), "nothing");  // older than the window
  EXPECT_EQ(text(to.opened(sealed[1400])), "1400");
  EXPECT_EQ(text(to.opened(sealed[1400])), "nothing");
  EXPECT_EQ(to.counts().replayed, 4u);
}

TEST(Seal, InAnyOrderEachIsOpenedOnce) {
  MessageAuthenticator from({key(1)}, 7), to({key(1)}, 8);
  pcg32 chance(1);
  std::vector<std::string> sealed;
  for (int i = 0; i < 5000; ++i) sealed.push_back(from.sealed("x"));
  int opened = 0;
  std::vector<bool> seen(sealed.size(), false);
  for (std::uint32_t i = 0; i < 4500; ++i) {
    const auto at = i + chance(400);
    if (!to.opened(sealed[at])) continue;
    EXPECT_FALSE(seen[at]);
    seen[at] = true, ++opened;
  }
  EXPECT_GT(opened, 2500);
}

TEST(Seal, TwoKeysVerifyTheFirstSigns) {
  MessageAuthenticator old({key(1)}, 7), between({key(1), key(2)}, 8), fresh({key(2)}, 9);
  EXPECT_EQ(text(between.opened(old.sealed("a"))), "a");
  EXPECT_EQ(text(between.opened(fresh.sealed("b"))), "b");
  EXPECT_EQ(text(old.opened(between.sealed("c"))), "c");
  EXPECT_EQ(text(fresh.opened(between.sealed("d"))), "nothing");
}

TEST(Seal, ABitThatIsAnotherAnywhereIsRefused) {
  MessageAuthenticator from({key(1)}, 7), to({key(1)}, 8);
  const auto sealed = from.sealed("message");
  for (std::size_t bit = 0; bit < sealed.size() * 8; ++bit) {
    auto spoilt = sealed;
    spoilt[bit / 8] = static_cast<char>(spoilt[bit / 8] ^ (1 << bit % 8));
    EXPECT_EQ(text(to.opened(spoilt)), "nothing") << bit;
  }
  for (std::size_t cut = 0; cut < sealed.size(); ++cut)
    EXPECT_EQ(text(to.opened(sealed.substr(0, cut))), "nothing");
  EXPECT_EQ(text(to.opened(sealed)), "message");
}

}  // namespace
}  // namespace rainhook::membershipTransport
