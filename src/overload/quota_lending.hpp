/// \file
/// Divides a volume's rate limit among the hosts that receive its requests, and lets hosts lend units of
/// their parts to each other. No I/O and no clock.
///
/// Guarantee. In any time span t, all hosts together spend at most burst + rate * t units of a volume, where
/// rate and burst are those of the plan, regardless of message loss, delay or duplication and of process
/// restarts.
///
/// Rule. Each of the h hosts has a part: a balance of at most burst / h units, empty at the start of the
/// process, which refills at rate / h. Lent units are deducted from the lender's balance, and reduce its
/// capacity until the lender can be sure that the borrower can no longer spend them. The borrower may spend
/// them for the loan's lifetime, counted from its request by its own monotonic clock, which is read whenever
/// units are spent. The lender measures from the arrival of the request, which is later, and adds a margin
/// for clocks that run at different speeds. Lent units that are not spent in time are lost.
///
/// Proof. Let F be the units in all balances plus the units on loan. F <= burst at any time; F rises by
/// at most rate * t, and falls by what is spent. The guarantee follows. A restarted process does not
/// know what the preceding process has lent. Therefore a host never has more than half of its burst on loan,
/// and a loan expires before the other half could have refilled, so that both together fit into the burst.
/// Each grant is accepted once and only for the request whose number it carries, so datagrams that are lost,
/// late, duplicated or reordered can only waste units.
///
/// Hosts find each other through the volume's rendezvous host (overload/volume_rendezvous.hpp). Missing
/// or wrong registrations waste units, but never break the guarantee.
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

/// Not thread-safe. `now` must never decrease; the hosts' clocks need not agree.
class QuotaLending {
public:
    explicit QuotaLending(const Settings &settings) : settings_(settings) {}

    /// Refills the account up to `now`. `rate` (units/s) and `burst` (units) are those of the plan, for all
    /// `hosts` that receive requests for the volume.
    void refill(QuotaAccount &account, double rate, double burst, int hosts, Micros now);
    /// Records that a client's request for `units` has arrived. Every few seconds, returns a registration to
    /// send to the volume's rendezvous host.
    std::optional<SendPeerMessage> record_demand(QuotaAccount &account, VolumeId volume, double units,
                                                 Micros now);
    /// The units that may be spent now, both this host's own and borrowed ones.
    double available(const QuotaAccount &account, Micros now) const;
    /// Spends units that are available, borrowed ones first.
    void spend(QuotaAccount &account, double units, Micros now);

    /// Returns a request to a peer for the units that are missing to spend `units` now. Empty if no peer can
    /// be requested, or not yet again.
    std::optional<SendPeerMessage> request_units(QuotaAccount &account, VolumeId volume, double units,
                                                 Micros now);

    /// Whether a datagram should be passed to handle().
    static bool recognizes(const std::string &data) { return is_quota_message(data); }
    struct Outcome {
        std::optional<SendPeerMessage> reply = {};
        std::optional<VolumeId> replenished = {}; ///< the volume that received borrowed units
    };
    /// Returns null for a volume that this host does not know.
    using AccountLookup = std::function<QuotaAccount *(VolumeId)>;
    /// Processes a datagram from a peer. Malformed ones are counted and dropped.
    Outcome handle(const PeerMessage &message, const AccountLookup &accounts, Micros now);

    /// This host's own units that may be spent now.
    double own_units(const QuotaAccount &account, Micros now) const;
    /// Units that this host has lent and that their borrowers may still spend.
    double lent_units(const QuotaAccount &account, Micros now) const;
    /// Takes over the account of a parent process. The `lent` units count as lent at `now`.
    void restore(QuotaAccount &account, double balance, double lent, Micros now);
    /// With `frozen`, a successor process has taken over the account, and this one retains up to `kept` units
    /// for requests that it accepted before. Without it, the successor has exited and the account starts
    /// empty.
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
