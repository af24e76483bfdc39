/// @file
/// How an instance becomes a member: whom it asks for the fleet's state, and whether its name is its own.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/membership_settings.h"

namespace rainhook::membership {

/// A member by its address; the name is empty where only the address is known.
struct KnownMember {
  MemberName name;  ///< empty where only the address is known
  Address address;  ///< where it is asked
  /// Equal where name and address are.
  bool operator==(const KnownMember&) const = default;
};

/// What an instance has persisted in its earlier processes.
struct PersistedIdentity {
  static constexpr std::size_t maxKnownMembers = 8;  ///< persisted, at most

  Incarnation firstIncarnation{1};                     ///< beyond all that were ever sent
  Incarnation reservedIncarnation{~std::uint64_t{0}};  ///< none beyond it is sent
  std::vector<KnownMember> knownMembers;  ///< asked where no seed answers, maxKnownMembers at most
};

/// The incarnations that this member may use: none is sent before it is reserved on the disk.
class IncarnationReservation {
 public:
  /// Incarnations up to `reserved` may be used from the beginning.
  explicit IncarnationReservation(Incarnation reserved) : reserved_(reserved) {}

  /// The incarnation to use where `wanted` is needed: not lower than `current`, nor beyond what is reserved.
  [[nodiscard]] Incarnation raise(Incarnation current, Incarnation wanted);
  /// Incarnations up to this one are on the disk; a lower one than before changes nothing.
  void reserveUpTo(Incarnation incarnation);
  /// The highest incarnation that was needed so far.
  [[nodiscard]] Incarnation required() const { return required_; }

 private:
  Incarnation reserved_;
  Incarnation required_{};
};

/// Asks the seeds in turn for three rounds, then once each of the members known from earlier processes; where
/// none answers, this instance is the first member.
class JoinProtocol {
 public:
  /// Asks the seeds first, in their order, then the known members.
  JoinProtocol(const std::vector<Address>& seeds, const std::vector<KnownMember>& known);

  /// Whether there is anybody to ask.
  [[nodiscard]] bool hasContacts() const { return !contacts_.empty(); }
  /// Whether all contacts were asked as often as is planned.
  [[nodiscard]] bool hasAskedAll() const;
  /// Whether the next contact is to be asked.
  [[nodiscard]] bool isContactDue(Duration now) const { return now >= nextContactAt_; }
  /// The next contact is to be asked at this moment.
  void scheduleContact(Duration at) { nextContactAt_ = at; }
  /// Whom to ask next; there is one.
  [[nodiscard]] const KnownMember& nextContact();

  /// Whether this instance was admitted under its name.
  [[nodiscard]] bool hasJoined() const { return hasJoined_; }
  /// This instance was admitted under its name.
  void setJoined() { hasJoined_ = true; }
  /// This instance can't be a member and is to stop.
  [[nodiscard]] bool isRejected() const { return isRejected_; }
  /// This instance is to stop; there is no way back.
  void setRejected() { isRejected_ = true; }
  /// Another process under our name is being probed.
  [[nodiscard]] bool isNameChallenged() const { return isNameChallenged_; }
  /// Begins or ends the probe of another process under our name.
  void setNameChallenged(bool isChallenged) { isNameChallenged_ = isChallenged; }

 private:
  static constexpr std::size_t seedRounds = 3;

  std::vector<KnownMember> contacts_;  ///< the seeds, then those known from earlier processes
  std::size_t seedCount_ = 0;
  std::size_t contactsAsked_ = 0;
  Duration nextContactAt_{};
  bool hasJoined_ = false;
  bool isRejected_ = false;
  bool isNameChallenged_ = false;
};

}  // namespace rainhook::membership
