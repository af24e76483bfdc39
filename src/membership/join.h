/// @file
/// How an instance becomes a member: the contacts that it asks for the fleet's state, and the check that no
/// other process uses its name.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/membership_settings.h"

namespace rainhook::membership {

/// The name and address of a member.
struct KnownMember {
  MemberName name;  ///< empty if only the address is known
  Address address;  ///< the address to contact
  /// Compares name and address.
  bool operator==(const KnownMember&) const = default;
};

/// The identity that earlier processes of an instance persisted.
struct PersistedIdentity {
  static constexpr std::size_t maxKnownMembers = 8;  ///< maximum number of persisted members

  Incarnation firstIncarnation{1};  ///< higher than all that were ever sent
  /// The highest that may be sent until more are reserved. The default does not limit it.
  Incarnation reservedIncarnation{~std::uint64_t{0}};
  std::vector<KnownMember> knownMembers;  ///< asked if no seed answers, at most maxKnownMembers
};

/// The incarnations that this member may use. None is sent before its reservation is on disk.
class IncarnationReservation {
 public:
  /// Allows incarnations up to `reserved` from the start.
  explicit IncarnationReservation(Incarnation reserved) : reserved_(reserved) {}

  /// Returns the incarnation to use if `wanted` is needed: at least `current`, and otherwise not higher than
  /// the reserved one.
  [[nodiscard]] Incarnation raise(Incarnation current, Incarnation wanted);
  /// Allows incarnations up to this one, whose reservation is on disk; a lower value than before has no
  /// effect.
  void reserveUpTo(Incarnation incarnation);
  /// Returns the highest incarnation that was needed so far.
  [[nodiscard]] Incarnation required() const { return required_; }

 private:
  Incarnation reserved_;
  Incarnation required_{};
};

/// Asks the seeds in turn for three rounds, then each member known from earlier processes once. If none of
/// them answers, this instance is the first member. Further calls of nextContact() repeat all contacts in
/// turn.
class JoinProtocol {
 public:
  /// Asks the seeds first, in the given order, then the known members.
  JoinProtocol(const std::vector<Address>& seeds, const std::vector<KnownMember>& known);

  /// Returns whether there is any contact to ask.
  [[nodiscard]] bool hasContacts() const { return !contacts_.empty(); }
  /// Returns whether all seeds were asked three times and all known members once.
  [[nodiscard]] bool hasAskedAll() const;
  /// Returns whether it is time to ask the next contact.
  [[nodiscard]] bool isContactDue(Duration now) const { return now >= nextContactAt_; }
  /// Sets the time at which to ask the next contact.
  void scheduleContact(Duration at) { nextContactAt_ = at; }
  /// Advances to the next contact and returns it; there must be at least one.
  [[nodiscard]] const KnownMember& nextContact();

  /// Returns whether this instance was admitted under its name.
  [[nodiscard]] bool hasJoined() const { return hasJoined_; }
  /// Records that this instance was admitted under its name.
  void setJoined() { hasJoined_ = true; }
  /// Returns whether this instance cannot be a member and has to stop.
  [[nodiscard]] bool isRejected() const { return isRejected_; }
  /// Records that this instance has to stop; this cannot be undone.
  void setRejected() { isRejected_ = true; }
  /// Returns whether a probe of another process under this member's name is pending.
  [[nodiscard]] bool isNameChallenged() const { return isNameChallenged_; }
  /// Records the start or the end of the probe of another process under this member's name.
  void setNameChallenged(bool isChallenged) { isNameChallenged_ = isChallenged; }

 private:
  static constexpr std::size_t seedRounds = 3;

  std::vector<KnownMember> contacts_;  ///< the seeds, then the members known from earlier processes
  std::size_t seedCount_ = 0;
  std::size_t contactsAsked_ = 0;
  Duration nextContactAt_{};
  bool hasJoined_ = false;
  bool isRejected_ = false;
  bool isNameChallenged_ = false;
};

}  // namespace rainhook::membership
