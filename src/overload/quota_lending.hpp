/// \file
/// Divides a volume's rate limit among the hosts through which its requests come, and lends units of it
/// between them. No I/O and no clock.
///
/// Guarantee. Whatever happens to messages and processes, what all hosts together spend of a volume in any
/// span of time t is at most burst + rate * t, rate and burst being the plan's.
///
/// Rule. Each of the h hosts has a part: a balance of at most burst / h units, empty at the start of the
/// process, which refills at rate / h. Units that are lent leave the lender's balance, and reduce the room in
/// it until the lender can be sure that the borrower can no longer spend them. The borrower may spend them
/// for the loan's lifetime, counted from its request by its own clock, which only runs forward and is read at
/// each spending. The lender counts from the arrival of the request, which is later, and adds a margin for
/// clocks that run at different speeds. Units that are lent and not spent in time are lost.
///
/// Proof. Let F be the units in all balances plus the units out on loan. F <= burst at any time; F rises by
/// at most rate * t, and falls by what is spent. The guarantee follows. A process that starts anew does not
/// know what the process before it has lent: so no host lends more than half of its room at once, and a loan
/// does not outlive the time in which the other half refills, so that both together still have room. A grant
/// answers one request, by its number, once: datagrams that are lost, late, duplicated or reordered can only
/// lose units.
///
/// Hosts find each other through the volume's rendezvous host (overload/volume_rendezvous.hpp). What is
/// unknown or wrong there costs units, and never the guarantee.
#pragma once

#include "marblewood/scheduler.hpp"
#include "overload/quota_account.hpp"
#include "overload/quota_message.hpp"
#include "overload/request_numbers.hpp"
#include "overload/volume_rendezvous.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace marblewood::overload {

/// Threads: one owner, called from one thread. `now` never goes back; the hosts' clocks need not agree.
class QuotaLending {
public:
    explicit QuotaLending(const Settings &settings) : settings_(settings) {}

    /// Brings the account up to `now`. `rate` (units/s) and `burst` (units) are the plan's, for all `hosts`
    /// through which the volume's requests come.
    void refill(QuotaAccount &account, double rate, double burst, int hosts, Micros now);
    /// A request of `units` has arrived. Now and then returns the registration for the volume's rendezvous
    /// host.
    std::optional<SendPeerMessage> record_demand(QuotaAccount &account, VolumeId volume, double units,
                                                 Micros now);
    /// Units that may be spent now: this host's own and borrowed ones.
    double available(const QuotaAccount &account, Micros now) const;
    /// Spends units that are available, borrowed ones first.
    void spend(QuotaAccount &account, double units, Micros now);

    /// `units` are needed now: a request for what is missing, addressed to a peer. Empty where no peer may
    /// help, or not yet again.
    std::optional<SendPeerMessage> request_units(QuotaAccount &account, VolumeId volume, double units,
                                                 Micros now);

    /// Whether a datagram is for handle().
    static bool recognizes(const std::string &data) { return is_quota_message(data); }
    struct Outcome {
        std::optional<SendPeerMessage> reply = {};
        std::optional<VolumeId> replenished = {}; ///< more of its units may be spent now
    };
    /// Null for a volume that this host does not know.
    using AccountLookup = std::function<QuotaAccount *(VolumeId)>;
    /// A malformed datagram is counted and dropped.
    Outcome handle(const PeerMessage &message, const AccountLookup &accounts, Micros now);

    /// Units of this host's own that may be spent now.
    double own_units(const QuotaAccount &account, Micros now) const;
    /// Units lent that may still be spent elsewhere.
    double lent_units(const QuotaAccount &account, Micros now) const;
    /// Takes over the account of a process that hands over: `lent` counts as lent just now.
    void restore(QuotaAccount &account, double balance, double lent, Micros now);
    /// With `frozen`, a successor has the account and this host keeps `kept` units for requests that it
    /// accepted before. Without, the successor has gone, and the account starts empty.
    void set_frozen(QuotaAccount &account, bool frozen, double kept, Micros now);

    const QuotaLoanMetrics &metrics() const { return metrics_; }

private:
    bool enabled() const { return settings_.peers && settings_.lends; }
    Micros loan_lifetime(const QuotaAccount &account) const;
    void settle(QuotaAccount &account, Micros now);
    std::optional<int> choose_lender(const QuotaAccount &account, Micros now) const;
    double units_to_request(const QuotaAccount &account, double units, Micros now) const;
    void note_peers(QuotaAccount &account, const std::vector<int> &hosts, Micros now) const;
    double lendable_units(const QuotaAccount &account, Micros now) const;
    void lend(QuotaAccount &account, double units, Micros now);

    std::optional<SendPeerMessage> answer_registration(VolumeId volume, int from, Micros now);
    std::optional<SendPeerMessage> answer_request(QuotaAccount &account, const QuotaMessage &request,
                                                  int from, Micros now);
    bool accept_grant(QuotaAccount &account, const QuotaMessage &grant, int from, Micros now);

    Settings settings_;
    RequestNumbers request_numbers_;
    VolumeRendezvous rendezvous_;
    QuotaLoanMetrics metrics_;
};

} // namespace marblewood::overload
