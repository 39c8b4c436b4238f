#include "overload/quota_lending.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marblewood::overload {
namespace {

constexpr double kMicrosPerSecond = 1e6;

constexpr Micros kMaxLoanLifetime = 500'000;
constexpr double kMaxClockSpeedRatio = 1.05; // at most, of the lender's clock to the borrower's
constexpr Micros kLoanExpiryMargin = 20'000; // the lender adds it to a loan's lifetime
constexpr double kMaxLentFraction = 0.5;     // of the burst, lent at any time

constexpr double kDemandWindowMicros = 1e6; // the demand is averaged over this time
/// A borrower requests, and a lender retains, units for its demand over this time.
constexpr double kDemandReserveSeconds = 0.25;
constexpr Micros kRequestInterval = 30'000;   // at least, between requests for one volume
constexpr Micros kMinPeerBackoff = 60'000;    // initial pause between requests to a peer that lent nothing
constexpr Micros kMaxPeerBackoff = 1'000'000; // the pause doubles up to this
constexpr Micros kRegistrationInterval = 8'000'000;
constexpr std::size_t kMaxPendingRequests = 16;

double outstanding(const std::vector<QuotaAccount::Loan> &loans, Micros now) {
    const auto add = [now](double units, const QuotaAccount::Loan &loan) {
        return units + (now < loan.expires_at ? loan.units : 0);
    };
    return std::accumulate(loans.begin(), loans.end(), 0.0, add);
}

/// The balance at `now`. Units on loan reduce the capacity of the balance until their loan expires.
double balance_at(const QuotaAccount &account, Micros now) {
    if (account.frozen)
        return account.balance;
    double balance = account.balance;
    Micros refilled_until = account.refilled_at;
    const auto refill_until = [&](Micros end) {
        if (end <= refilled_until)
            return;
        const double room = std::max(0.0, account.burst - outstanding(account.lent, refilled_until));
        balance = std::min(
            balance + account.rate * static_cast<double>(end - refilled_until) / kMicrosPerSecond, room);
        refilled_until = end;
    };
    for (const QuotaAccount::Loan &loan : account.lent)
        refill_until(std::min(loan.expires_at, now));
    refill_until(now);
    return balance;
}

/// When the lender can be sure that the borrower can no longer spend a loan's units.
Micros lender_expiry(Micros lent_at, Micros lifetime) {
    return lent_at + static_cast<Micros>(static_cast<double>(lifetime) * kMaxClockSpeedRatio) +
           kLoanExpiryMargin;
}

} // namespace

/// How long after its request a borrower may spend the units; 0 or less: nothing can be lent.
Micros QuotaLending::loan_lifetime(const QuotaAccount &account) const {
    if (account.rate <= 0)
        return 0;
    const auto refill_time = static_cast<Micros>((1 - kMaxLentFraction) * account.burst / account.rate *
                                                 kMicrosPerSecond / kMaxClockSpeedRatio);
    return std::min(kMaxLoanLifetime, refill_time - kLoanExpiryMargin);
}

/// Refills the balance, drops expired loans and decays the demand up to `now`.
void QuotaLending::settle(QuotaAccount &account, Micros now) {
    account.balance = balance_at(account, now);
    account.refilled_at = now;
    std::erase_if(account.lent, [now](const QuotaAccount::Loan &loan) { return now >= loan.expires_at; });
    std::erase_if(account.borrowed, [&](const QuotaAccount::Loan &loan) {
        if (now >= loan.expires_at)
            metrics_.units_wasted += loan.units;
        return now >= loan.expires_at;
    });
    account.demand *= std::exp(-static_cast<double>(now - account.demand_at) / kDemandWindowMicros);
    account.demand_at = now;
}

void QuotaLending::refill(QuotaAccount &account, double rate, double burst, int hosts, Micros now) {
    if (account.refilled_at == 0) {
        // The balance starts empty, since the preceding process may have spent it just before.
        account.refilled_at = now;
        account.demand_at = now;
    }
    settle(account, now);
    account.hosts = std::max(1, hosts);
    account.rate = rate / account.hosts;
    account.burst = burst / account.hosts;
    if (!account.frozen)
        account.balance =
            std::min(account.balance, std::max(0.0, account.burst - outstanding(account.lent, now)));
}

std::optional<SendPeerMessage> QuotaLending::record_demand(QuotaAccount &account, VolumeId volume,
                                                           double units, Micros now) {
    settle(account, now);
    account.demand += units * kMicrosPerSecond / kDemandWindowMicros;
    if (!enabled() || account.hosts < 2 || account.frozen ||
        now - account.last_registration_at < kRegistrationInterval)
        return std::nullopt;
    account.last_registration_at = now;
    ++metrics_.registrations;
    const int host = rendezvous_host(volume, settings_.hosts);
    if (host == settings_.position) {
        note_peers(account, rendezvous_.register_host(volume, host, now), now);
        return std::nullopt;
    }
    QuotaMessage registration;
    registration.kind = QuotaMessage::Kind::Registration;
    registration.volume = volume;
    return SendPeerMessage{host, encode(registration)};
}

double QuotaLending::available(const QuotaAccount &account, Micros now) const {
    return balance_at(account, now) + outstanding(account.borrowed, now);
}

void QuotaLending::spend(QuotaAccount &account, double units, Micros now) {
    settle(account, now);
    for (QuotaAccount::Loan &loan : account.borrowed) {
        const double spent = std::min(units, loan.units);
        loan.units -= spent;
        units -= spent;
        metrics_.units_used += spent;
    }
    std::erase_if(account.borrowed, [](const QuotaAccount::Loan &loan) { return loan.units <= 0; });
    account.balance -= units;
}

/// The next peer, in the order of host indexes after the one requested last, that is not in backoff.
std::optional<int> QuotaLending::choose_lender(const QuotaAccount &account, Micros now) const {
    std::optional<int> first;
    for (const auto &[host, peer] : account.peers) {
        if (now < peer.next_request_at)
            continue;
        if (host > account.last_requested_peer)
            return host;
        if (!first)
            first = host;
    }
    return first;
}

double QuotaLending::units_to_request(const QuotaAccount &account, double units, Micros now) const {
    const double missing = units - available(account, now) + kDemandReserveSeconds * account.demand;
    return std::ceil(std::clamp(missing, 1.0, account.burst));
}

std::optional<SendPeerMessage> QuotaLending::request_units(QuotaAccount &account, VolumeId volume,
                                                           double units, Micros now) {
    if (!enabled() || account.hosts < 2 || account.frozen || loan_lifetime(account) <= 0)
        return std::nullopt;
    if (now - account.last_request_at < kRequestInterval)
        return std::nullopt;
    settle(account, now);
    std::erase_if(account.peers,
                  [now](const auto &entry) { return now - entry.second.last_heard_at > kPeerTimeout; });
    const std::optional<int> lender = choose_lender(account, now);
    if (!lender)
        return std::nullopt;
    QuotaAccount::Peer &peer = account.peers[*lender];
    peer.request_backoff = std::clamp(2 * peer.request_backoff, kMinPeerBackoff, kMaxPeerBackoff);
    peer.next_request_at = now + peer.request_backoff; // reset by a grant of units
    account.last_requested_peer = *lender;
    account.last_request_at = now;
    if (account.pending_requests.size() >= kMaxPendingRequests)
        account.pending_requests.erase(account.pending_requests.begin());
    QuotaMessage request;
    request.kind = QuotaMessage::Kind::Request;
    request.volume = volume;
    request.units = units_to_request(account, units, now);
    request.request_number = request_numbers_.next(now);
    account.pending_requests.push_back({request.request_number, now, request.units});
    ++metrics_.requested;
    return SendPeerMessage{*lender, encode(request)};
}

QuotaLending::Outcome QuotaLending::handle(const PeerMessage &message, const AccountLookup &accounts,
                                           Micros now) {
    const std::optional<QuotaMessage> decoded = decode_quota_message(message.data, settings_.hosts);
    if (!decoded) {
        ++metrics_.malformed;
        return {};
    }
    if (!enabled() || message.from == settings_.position)
        return {};
    if (decoded->kind == QuotaMessage::Kind::Registration)
        return {.reply = answer_registration(decoded->volume, message.from, now)};
    QuotaAccount *const account = accounts(decoded->volume);
    if (!account)
        return {};
    switch (decoded->kind) {
    case QuotaMessage::Kind::Members:
        note_peers(*account, decoded->hosts, now);
        break;
    case QuotaMessage::Kind::Request:
        return {.reply = answer_request(*account, *decoded, message.from, now)};
    case QuotaMessage::Kind::Grant:
        if (accept_grant(*account, *decoded, message.from, now))
            return {.replenished = decoded->volume};
        break;
    case QuotaMessage::Kind::Registration:
        break; // handled above, since it needs no account
    }
    return {};
}

std::optional<SendPeerMessage> QuotaLending::answer_registration(VolumeId volume, int from, Micros now) {
    QuotaMessage members;
    members.kind = QuotaMessage::Kind::Members;
    members.volume = volume;
    members.hosts = rendezvous_.register_host(volume, from, now);
    if (members.hosts.empty())
        return std::nullopt;
    return SendPeerMessage{from, encode(members)};
}

void QuotaLending::note_peers(QuotaAccount &account, const std::vector<int> &hosts, Micros now) const {
    for (const int host : hosts)
        if (host != settings_.position)
            account.peers[host].last_heard_at = now;
}

/// The units that this host can lend: it retains what its own demand needs, and lends at most
/// kMaxLentFraction of its burst at a time.
double QuotaLending::lendable_units(const QuotaAccount &account, Micros now) const {
    const double kept =
        account.demand > 0 ? kDemandReserveSeconds * account.demand + settings_.mean_request_units : 0;
    const double lent = outstanding(account.lent, now);
    return std::min(account.balance - kept, kMaxLentFraction * account.burst - lent);
}

void QuotaLending::lend(QuotaAccount &account, double units, Micros now) {
    account.balance -= units;
    account.lent.push_back({lender_expiry(now, loan_lifetime(account)), units});
    std::ranges::sort(account.lent, {}, &QuotaAccount::Loan::expires_at);
    metrics_.units_lent += units;
}

std::optional<SendPeerMessage>
QuotaLending::answer_request(QuotaAccount &account, const QuotaMessage &request, int from, Micros now) {
    if (!enabled() || account.frozen || account.refilled_at == 0 || loan_lifetime(account) <= 0)
        return std::nullopt;
    settle(account, now);
    account.peers[from].last_heard_at = now;
    const double units = std::floor(std::min(request.units, lendable_units(account, now)));
    if (units >= 1)
        lend(account, units, now);
    QuotaMessage grant;
    grant.kind = QuotaMessage::Kind::Grant;
    grant.volume = request.volume;
    grant.request_number = request.request_number;
    grant.units = std::max(units, 0.0); // a grant of 0 still shows that this host serves the volume
    return SendPeerMessage{from, encode(grant)};
}

bool QuotaLending::accept_grant(QuotaAccount &account, const QuotaMessage &grant, int from, Micros now) {
    const auto found = std::ranges::find(account.pending_requests, grant.request_number,
                                         &QuotaAccount::PendingRequest::number);
    if (found == account.pending_requests.end())
        return false;
    const QuotaAccount::PendingRequest request = *found;
    account.pending_requests.erase(found);
    QuotaAccount::Peer &peer = account.peers[from];
    peer.last_heard_at = now;
    if (grant.units < 1 || grant.units > request.units || account.frozen)
        return false;
    peer.next_request_at = 0;
    peer.request_backoff = 0;
    const Micros expires_at = request.sent_at + loan_lifetime(account);
    if (now >= expires_at) {
        metrics_.units_wasted += grant.units;
        return false;
    }
    metrics_.units_borrowed += grant.units;
    account.borrowed.push_back({expires_at, grant.units});
    std::ranges::sort(account.borrowed, {}, &QuotaAccount::Loan::expires_at);
    return true;
}

double QuotaLending::own_units(const QuotaAccount &account, Micros now) const {
    return balance_at(account, now);
}

double QuotaLending::lent_units(const QuotaAccount &account, Micros now) const {
    return outstanding(account.lent, now);
}

void QuotaLending::restore(QuotaAccount &account, double balance, double lent, Micros now) {
    account.balance = balance;
    account.refilled_at = now;
    account.demand_at = now;
    account.lent.clear();
    account.borrowed.clear();
    if (lent > 0)
        account.lent.push_back({lender_expiry(now, kMaxLoanLifetime), lent});
}

void QuotaLending::set_frozen(QuotaAccount &account, bool frozen, double kept, Micros now) {
    settle(account, now);
    account.frozen = frozen;
    account.balance = frozen ? std::min(account.balance, kept) : 0;
    account.borrowed.clear();
}

} // namespace marblewood::overload
