// Limit loans: a volume's limit over the brokers through which its requests come, and units of it lent
// between them. No I/O and no clock.
//
// Bound promised. Whatever becomes of datagrams and processes, what all brokers together spend of a volume in
// any stretch of time t is at most burst + rate * t, rate and burst being the plan's. Each of the h brokers
// has a part: a store of burst / h units at the most, empty at the start of a process, which fills at rate /
// h. Units lent leave the lender's store and count against its room until the lender may be sure that the
// borrower can't spend them any more; the borrower may spend them until `life` after it called for them, by
// its own clock, which only runs and is read at each spending. The lender counts from when the request came,
// which is later, and adds a margin for clocks that run at different speeds. What is lent and not spent in
// time is lost. So with F = units in all stores + units out on loan, F <= burst at any time, it rises by no
// more than rate * t, and falls by what is spent: the bound follows. A process that starts anew knows nothing
// of what its forerunner lent: no broker lends more than half of its room at once, and a loan lives no longer
// than the other half takes to fill, so that both together still have room. A grant answers one request, by
// its number, once; lost, late, doubled or reordered datagrams only lose units.
//
// Who shares a volume. Each broker that serves a volume with a limit says so now and then at the volume's
// meeting place, a broker that follows from the volume's number, and is told there who else does. (A request
// to all would cost as many datagrams as there are brokers.) What is not known, or wrong, costs units, never
// the bound.
#pragma once

#include "marblewood/scheduler.hpp"

#include <deque>
#include <functional>
#include <map>

namespace marblewood::overload {

struct QuotaAccount { // a volume's, at one broker; units unless said otherwise
    int hosts = 1;
    double rate = 0, burst = 0; // of this broker's part: units a second, units
    double balance = 0;
    Micros refilled_at = 0; // up to when the balance is filled
    bool frozen = false;    // a successor has the store: nothing fills it here, and nothing is lent
    struct Loan {
        Micros until = 0;
        double units = 0;
    };
    std::deque<Loan> lent, borrowed; // in the order of their ends
    struct PendingRequest {
        std::uint64_t number = 0;
        Micros at = 0;
        double units = 0;
    };
    std::deque<PendingRequest> pending_requests; // not yet answered
    struct Peer {                                // another broker through which the volume's requests come
        Micros heard = 0;
        Micros next = 0, gap = 0; // asked in vain lately: not again before then
    };
    std::map<int, Peer> peers;
    double demand = 0; // units asked of this broker, decayed over kDemand
    Micros demand_at = 0;
    Micros last_request_at = INT64_MIN / 4;
    Micros last_registration_at = INT64_MIN / 4;
    int last_requested_peer = -1; // each is asked in turn
};

class QuotaLending {
public:
    explicit QuotaLending(const Settings &settings) : set_(settings) {}

    // This broker's part as of now; `burst` and `rate` are the plan's, `brokers` as the request says.
    void refill(QuotaAccount &account, double rate, double burst, int hosts, Micros now);
    // A request has come. Now and then this broker says at the volume's meeting place that it shares the
    // volume.
    std::optional<SendPeerMessage> record_demand(QuotaAccount &account, VolumeId volume, double units,
                                                 Micros now);
    double available(const QuotaAccount &account, Micros now) const; // may be spent now
    void spend(QuotaAccount &account, double units, Micros now);     // `left` allows it

    // So many units are wanted now. Whom to request for what is missing, and what to say; nothing where
    // nobody can help, or not yet again.
    std::optional<SendPeerMessage> request_units(QuotaAccount &account, VolumeId volume, double units,
                                                 Micros now);
    // What a peer says: whether it is of loans; then the answer, and the volume of which there is more to
    // spend. What makes no sense is counted and dropped.
    static bool recognizes(const std::string &data);
    struct Outcome {
        std::optional<SendPeerMessage> reply;
        std::optional<VolumeId> replenished;
    };
    using AccountLookup =
        std::function<QuotaAccount *(VolumeId)>; // null where this broker does not know the volume
    Outcome handle(const PeerMessage &message, const AccountLookup &accounts, Micros now);

    double own_units(const QuotaAccount &account, Micros now) const; // units of its own
    // For a successor: units lent that may still be spent elsewhere, which it takes for lent just now.
    double lent_units(const QuotaAccount &account, Micros now) const;
    void restore(QuotaAccount &account, double store, double lent, Micros now);
    void set_frozen(QuotaAccount &account, bool on, double kept, Micros now);

    const QuotaLoanMetrics &metrics() const { return metrics_; }

private:
    struct Word {
        char kind = 0; // as spelt
        VolumeId volume{};
        std::uint64_t number = 0;
        double units = 0;
        std::vector<int> hosts = {};
    };
    std::optional<Word> read(const std::string &data) const;
    std::optional<SendPeerMessage> answer(QuotaAccount &account, const Word &request, int to, Micros now);
    bool take(QuotaAccount &account, const Word &grant, int from, Micros now);
    std::optional<SendPeerMessage> introduce(VolumeId volume, int who, Micros now);
    void meet(QuotaAccount &account, const std::vector<int> &hosts, Micros now) const;
    Micros life(const QuotaAccount &account) const; // us for which units may be spent, from the request on
    void settle(QuotaAccount &account, Micros now);

    Settings set_;
    std::uint64_t requests_ = 0;
    std::map<VolumeId, std::map<int, Micros>> meetings_; // who shares a volume, and when it said so
    QuotaLoanMetrics metrics_;
};

} // namespace marblewood::overload
