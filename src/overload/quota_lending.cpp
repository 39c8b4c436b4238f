#include "overload/quota_lending.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>

namespace marblewood::overload {
namespace {

constexpr Micros kLife = 500'000;  // us that a loan lives, at the most
constexpr double kDrift = 1.05;    // by which the lender's clock may run faster than the borrower's,
constexpr Micros kMargin = 20'000; // and us besides
constexpr double kLentPart = 0.5;  // of its room that a broker lends at once
constexpr double kDemand = 1e6;    // us over which the demand is averaged
constexpr double kAhead = 0.25;    // s of its demand that a broker requests for, and that a lender keeps
constexpr Micros kAskGap = 30'000; // us between requests for one volume
constexpr Micros kDryGap = 60'000, kMostDryGap = 1'000'000; // us until one that had nothing is asked again,
                                                            // at first and at most; doubled each time
constexpr Micros kMeetGap = 8'000'000;                      // us between words to the meeting place
constexpr Micros kHeard = 20'000'000;      // us after which a sharer that says nothing is forgotten
constexpr std::size_t kMostRequests = 16;  // that may still be answered
constexpr const char *kMark = "mw-loan1 "; // then a letter for the kind of word
constexpr char kAsk = 'a', kGive = 'g', kMeet = 'm', kHere = 'h';
constexpr std::size_t kMostHosts = 16; // named in one word

double sum(const std::deque<QuotaAccount::Loan> &loans, Micros now) {
    return std::accumulate(loans.begin(), loans.end(), 0.0, [&](double all, const QuotaAccount::Loan &loan) {
        return all + (now < loan.until ? loan.units : 0);
    });
}
// The store at `now`; what is lent ends on the way, and each end makes room only from then on.
double filled(const QuotaAccount &account, Micros now) {
    if (account.frozen)
        return account.balance;
    double store = account.balance;
    Micros at = account.refilled_at;
    const auto until = [&](Micros then) {
        const double room = std::max(0.0, account.burst - sum(account.lent, at));
        if (then <= at)
            return;
        store = std::min(store + account.rate * static_cast<double>(then - at) / 1e6, room);
        at = then;
    };
    for (const QuotaAccount::Loan &loan : account.lent)
        until(std::min(loan.until, now));
    until(now);
    return store;
}
std::string spell(char kind, VolumeId volume) {
    char text[20];
    return kMark + std::string(1, kind) + ' ' +
           std::string(text, std::to_chars(text, text + 20, static_cast<std::uint64_t>(volume), 16).ptr);
}
std::string spell(char kind, VolumeId volume, std::uint64_t number, double units) {
    char text[20];
    return spell(kind, volume) + ' ' + std::string(text, std::to_chars(text, text + 20, number, 16).ptr) +
           ' ' + std::to_string(static_cast<std::int64_t>(units));
}

} // namespace

Micros QuotaLending::life(const QuotaAccount &account) const {
    if (account.rate <= 0)
        return 0;
    return std::min(
        kLife, static_cast<Micros>((1 - kLentPart) * account.burst / account.rate * 1e6 / kDrift) - kMargin);
}

void QuotaLending::settle(QuotaAccount &account, Micros now) {
    account.balance = filled(account, now);
    account.refilled_at = now;
    std::erase_if(account.lent, [&](const QuotaAccount::Loan &loan) { return now >= loan.until; });
    std::erase_if(account.borrowed, [&](const QuotaAccount::Loan &loan) {
        if (now >= loan.until)
            metrics_.units_wasted += loan.units;
        return now >= loan.until;
    });
    const double keep = std::exp(-static_cast<double>(now - account.demand_at) / kDemand);
    account.demand *= keep;
    account.demand_at = now;
}

void QuotaLending::refill(QuotaAccount &account, double rate, double burst, int hosts, Micros now) {
    if (account.refilled_at == 0)
        account.refilled_at = account.demand_at = now; // empty, since a forerunner may just have spent it
    settle(account, now);
    account.hosts = std::max(1, hosts);
    account.rate = rate / account.hosts, account.burst = burst / account.hosts;
    if (!account.frozen)
        account.balance = std::min(account.balance, std::max(0.0, account.burst - sum(account.lent, now)));
}
std::optional<SendPeerMessage> QuotaLending::record_demand(QuotaAccount &account, VolumeId volume,
                                                           double units, Micros now) {
    settle(account, now);
    account.demand += units * 1e6 / kDemand;
    if (!set_.peers || !set_.lends || account.hosts < 2 || account.frozen ||
        now - account.last_registration_at < kMeetGap)
        return std::nullopt;
    account.last_registration_at = now;
    ++metrics_.registrations;
    const auto place =
        static_cast<int>(static_cast<std::uint64_t>(volume) * 0x9e3779b97f4a7c15 >> 33) % set_.hosts;
    if (place != set_.position)
        return SendPeerMessage{place, spell(kMeet, volume)};
    introduce(volume, set_.position, now);
    std::vector<int> others;
    for (const auto &[host, heard] : meetings_[volume])
        others.push_back(host);
    meet(account, others, now);
    return std::nullopt;
}
double QuotaLending::available(const QuotaAccount &account, Micros now) const {
    return filled(account, now) + sum(account.borrowed, now);
}

void QuotaLending::spend(QuotaAccount &account, double units, Micros now) {
    settle(account, now);
    for (QuotaAccount::Loan &loan : account.borrowed) { // what ends soonest first
        const double part = std::min(units, loan.units);
        loan.units -= part, units -= part, metrics_.units_used += part;
    }
    std::erase_if(account.borrowed, [](const QuotaAccount::Loan &loan) { return loan.units <= 0; });
    account.balance -= units;
}

std::optional<SendPeerMessage> QuotaLending::request_units(QuotaAccount &account, VolumeId volume,
                                                           double units, Micros now) {
    if (!set_.peers || !set_.lends || account.hosts < 2 || account.frozen || life(account) <= 0)
        return std::nullopt;
    if (now - account.last_request_at < kAskGap)
        return std::nullopt;
    settle(account, now);
    std::erase_if(account.peers, [&](const auto &sharer) { return now - sharer.second.heard > kHeard; });
    std::optional<int> whom;
    const auto turn = [&](int host) {
        return std::pair(host <= account.last_requested_peer, host);
    }; // those behind the last first
    for (const auto &[host, sharer] : account.peers)
        if (now >= sharer.next && (!whom || turn(host) < turn(*whom)))
            whom = host;
    if (!whom)
        return std::nullopt;
    QuotaAccount::Peer &sharer = account.peers[*whom]; // in vain, until it answers
    sharer.gap = std::clamp(2 * sharer.gap, kDryGap, kMostDryGap);
    sharer.next = now + sharer.gap;
    account.last_requested_peer = *whom, account.last_request_at = now;
    if (account.pending_requests.size() >= kMostRequests)
        account.pending_requests.pop_front();
    const double wanted =
        std::ceil(std::clamp(units - available(account, now) + kAhead * account.demand, 1.0, account.burst));
    // With the time in it, no forerunner or successor of this process requests by the same number.
    const std::uint64_t number = static_cast<std::uint64_t>(now) << 8 | (++requests_ & 255);
    account.pending_requests.push_back({number, now, wanted});
    ++metrics_.requested;
    return SendPeerMessage{whom, spell(kAsk, volume, number, wanted)};
}

bool QuotaLending::recognizes(const std::string &data) {
    return data.starts_with("mw-loan");
}

std::optional<QuotaLending::Word> QuotaLending::read(const std::string &data) const {
    Word word;
    const std::size_t mark = std::char_traits<char>::length(kMark);
    if (data.size() < mark + 3 || !data.starts_with(kMark) || data[mark + 1] != ' ')
        return std::nullopt;
    word.kind = data[mark];
    const char *const end = data.data() + data.size(), *at = data.data() + mark + 2;
    bool good = true;
    const auto number = [&](auto &into, int base) {
        const auto [next, error] = std::from_chars(at, end, into, base);
        good = good && at < end && error == std::errc() && (next == end || (*next == ' ' && next + 1 < end));
        at = next == end ? end : next + 1;
    };
    std::uint64_t volume = 0;
    std::uint32_t units = 0;
    number(volume, 16);
    if (word.kind == kAsk || word.kind == kGive)
        number(word.number, 16), number(units, 10);
    else if (word.kind == kHere)
        while (good && at < end && word.hosts.size() < kMostHosts) {
            int host = -1;
            number(host, 10);
            good = good && host >= 0 && host < set_.hosts;
            word.hosts.push_back(host);
        }
    else
        good = good && word.kind == kMeet;
    word.volume = VolumeId{volume}, word.units = units;
    return good && at == end ? std::optional(word) : std::nullopt;
}

QuotaLending::Outcome QuotaLending::handle(const PeerMessage &message, const AccountLookup &accounts,
                                           Micros now) {
    const auto word = read(message.data);
    if (!word)
        ++metrics_.malformed;
    if (!word || !set_.peers || !set_.lends || message.from == set_.position)
        return {};
    if (word->kind == kMeet)
        return {introduce(word->volume, message.from, now), {}};
    QuotaAccount *const account = accounts(word->volume);
    if (!account)
        return {};
    if (word->kind == kHere)
        meet(*account, word->hosts, now);
    if (word->kind == kAsk)
        return {answer(*account, *word, message.from, now), {}};
    if (word->kind == kGive && take(*account, *word, message.from, now))
        return {{}, word->volume};
    return {};
}

// At the meeting place: remembers this one, and tells it of the others.
std::optional<SendPeerMessage> QuotaLending::introduce(VolumeId volume, int who, Micros now) {
    for (auto &[id, hosts] : meetings_)
        std::erase_if(hosts, [&](const auto &host) { return now - host.second > kHeard; });
    std::erase_if(meetings_, [](const auto &meeting) { return meeting.second.empty(); });
    std::string others;
    std::size_t count = 0;
    for (const auto &[host, heard] : meetings_[volume])
        if (host != who && ++count <= kMostHosts)
            others += ' ' + std::to_string(host);
    meetings_[volume][who] = now;
    if (others.empty())
        return std::nullopt;
    return SendPeerMessage{who, spell(kHere, volume) + others};
}
void QuotaLending::meet(QuotaAccount &account, const std::vector<int> &hosts, Micros now) const {
    for (const int host : hosts)
        if (host != set_.position)
            account.peers[host].heard = now;
}

std::optional<SendPeerMessage> QuotaLending::answer(QuotaAccount &account, const Word &request, int to,
                                                    Micros now) {
    if (!set_.peers || !set_.lends || account.frozen || account.refilled_at == 0 || life(account) <= 0)
        return std::nullopt;
    settle(account, now);
    account.peers[to].heard = now;
    const double keeps = account.demand > 0 ? kAhead * account.demand + set_.mean_request_units : 0;
    const double may = std::min(account.balance - keeps, kLentPart * account.burst - sum(account.lent, now));
    const double units = std::floor(std::min(request.units, may));
    if (units >= 1) {
        account.balance -= units;
        account.lent.push_back(
            {now + static_cast<Micros>(static_cast<double>(life(account)) * kDrift) + kMargin, units});
        std::ranges::sort(account.lent, {}, &QuotaAccount::Loan::until);
        metrics_.units_lent += units;
    } // else the answer says only that this broker shares the volume
    return SendPeerMessage{to, spell(kGive, request.volume, request.number, std::max(units, 0.0))};
}

bool QuotaLending::take(QuotaAccount &account, const Word &grant, int from, Micros now) {
    const auto at =
        std::ranges::find(account.pending_requests, grant.number, &QuotaAccount::PendingRequest::number);
    if (at == account.pending_requests.end())
        return false;
    const QuotaAccount::PendingRequest request = *at;
    account.pending_requests.erase(at);
    QuotaAccount::Peer &sharer = account.peers[from];
    sharer.heard = now;
    if (grant.units < 1 || grant.units > request.units || account.frozen)
        return false;
    sharer.next = sharer.gap = 0;
    const Micros until = request.at + life(account);
    if (now >= until) {
        metrics_.units_wasted += grant.units;
        return false;
    }
    metrics_.units_borrowed += grant.units;
    account.borrowed.push_back({until, grant.units});
    std::ranges::sort(account.borrowed, {}, &QuotaAccount::Loan::until);
    return true;
}

double QuotaLending::own_units(const QuotaAccount &account, Micros now) const {
    return filled(account, now);
}
double QuotaLending::lent_units(const QuotaAccount &account, Micros now) const {
    return sum(account.lent, now);
}
void QuotaLending::restore(QuotaAccount &account, double store, double units, Micros now) {
    account.balance = store, account.refilled_at = account.demand_at = now;
    account.lent.clear(), account.borrowed.clear();
    if (units > 0)
        account.lent.push_back({now + static_cast<Micros>(kLife * kDrift) + kMargin, units});
}
void QuotaLending::set_frozen(QuotaAccount &account, bool on, double kept, Micros now) {
    settle(account, now);
    account.frozen = on;
    account.balance = on ? std::min(account.balance, kept) : 0;
    account.borrowed.clear();
}

} // namespace marblewood::overload
