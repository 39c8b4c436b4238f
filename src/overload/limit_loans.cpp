#include "overload/limit_loans.hpp"

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

double sum(const std::deque<LimitLedger::Loan> &loans, Micros now) {
    return std::accumulate(loans.begin(), loans.end(), 0.0, [&](double all, const LimitLedger::Loan &loan) {
        return all + (now < loan.until ? loan.units : 0);
    });
}
// The store at `now`; what is lent ends on the way, and each end makes room only from then on.
double filled(const LimitLedger &ledger, Micros now) {
    if (ledger.frozen)
        return ledger.store;
    double store = ledger.store;
    Micros at = ledger.at;
    const auto until = [&](Micros then) {
        const double room = std::max(0.0, ledger.burst - sum(ledger.lent, at));
        if (then <= at)
            return;
        store = std::min(store + ledger.rate * static_cast<double>(then - at) / 1e6, room);
        at = then;
    };
    for (const LimitLedger::Loan &loan : ledger.lent)
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

Micros LimitLoans::life(const LimitLedger &ledger) const {
    if (ledger.rate <= 0)
        return 0;
    return std::min(kLife, static_cast<Micros>((1 - kLentPart) * ledger.burst / ledger.rate * 1e6 / kDrift) -
                               kMargin);
}

void LimitLoans::settle(LimitLedger &ledger, Micros now) {
    ledger.store = filled(ledger, now);
    ledger.at = now;
    std::erase_if(ledger.lent, [&](const LimitLedger::Loan &loan) { return now >= loan.until; });
    std::erase_if(ledger.borrowed, [&](const LimitLedger::Loan &loan) {
        if (now >= loan.until)
            figures_.units_wasted += loan.units;
        return now >= loan.until;
    });
    const double keep = std::exp(-static_cast<double>(now - ledger.demand_at) / kDemand);
    ledger.demand *= keep;
    ledger.demand_at = now;
}

void LimitLoans::fill(LimitLedger &ledger, double rate, double burst, int hosts, Micros now) {
    if (ledger.at == 0)
        ledger.at = ledger.demand_at = now; // empty, since a forerunner may just have spent it
    settle(ledger, now);
    ledger.hosts = std::max(1, hosts);
    ledger.rate = rate / ledger.hosts, ledger.burst = burst / ledger.hosts;
    if (!ledger.frozen)
        ledger.store = std::min(ledger.store, std::max(0.0, ledger.burst - sum(ledger.lent, now)));
}
std::optional<SendPeerMessage> LimitLoans::wants(LimitLedger &ledger, VolumeId volume, double units,
                                                 Micros now) {
    settle(ledger, now);
    ledger.demand += units * 1e6 / kDemand;
    if (!set_.peers || !set_.lends || ledger.hosts < 2 || ledger.frozen || now - ledger.met < kMeetGap)
        return std::nullopt;
    ledger.met = now;
    ++figures_.registrations;
    const auto place =
        static_cast<int>(static_cast<std::uint64_t>(volume) * 0x9e3779b97f4a7c15 >> 33) % set_.hosts;
    if (place != set_.position)
        return SendPeerMessage{place, spell(kMeet, volume)};
    introduce(volume, set_.position, now);
    std::vector<int> others;
    for (const auto &[host, heard] : meetings_[volume])
        others.push_back(host);
    meet(ledger, others, now);
    return std::nullopt;
}
double LimitLoans::left(const LimitLedger &ledger, Micros now) const {
    return filled(ledger, now) + sum(ledger.borrowed, now);
}

void LimitLoans::spend(LimitLedger &ledger, double units, Micros now) {
    settle(ledger, now);
    for (LimitLedger::Loan &loan : ledger.borrowed) { // what ends soonest first
        const double part = std::min(units, loan.units);
        loan.units -= part, units -= part, figures_.units_used += part;
    }
    std::erase_if(ledger.borrowed, [](const LimitLedger::Loan &loan) { return loan.units <= 0; });
    ledger.store -= units;
}

std::optional<SendPeerMessage> LimitLoans::ask(LimitLedger &ledger, VolumeId volume, double units,
                                               Micros now) {
    if (!set_.peers || !set_.lends || ledger.hosts < 2 || ledger.frozen || life(ledger) <= 0)
        return std::nullopt;
    if (now - ledger.asked < kAskGap)
        return std::nullopt;
    settle(ledger, now);
    std::erase_if(ledger.sharers, [&](const auto &sharer) { return now - sharer.second.heard > kHeard; });
    std::optional<int> whom;
    const auto turn = [&](int host) {
        return std::pair(host <= ledger.last, host);
    }; // those behind the last first
    for (const auto &[host, sharer] : ledger.sharers)
        if (now >= sharer.next && (!whom || turn(host) < turn(*whom)))
            whom = host;
    if (!whom)
        return std::nullopt;
    LimitLedger::Sharer &sharer = ledger.sharers[*whom]; // in vain, until it answers
    sharer.gap = std::clamp(2 * sharer.gap, kDryGap, kMostDryGap);
    sharer.next = now + sharer.gap;
    ledger.last = *whom, ledger.asked = now;
    if (ledger.requests.size() >= kMostRequests)
        ledger.requests.pop_front();
    const double wanted =
        std::ceil(std::clamp(units - left(ledger, now) + kAhead * ledger.demand, 1.0, ledger.burst));
    // With the time in it, no forerunner or successor of this process requests by the same number.
    const std::uint64_t number = static_cast<std::uint64_t>(now) << 8 | (++requests_ & 255);
    ledger.requests.push_back({number, now, wanted});
    ++figures_.requested;
    return SendPeerMessage{whom, spell(kAsk, volume, number, wanted)};
}

bool LimitLoans::speaks(const std::string &data) {
    return data.starts_with("mw-loan");
}

std::optional<LimitLoans::Word> LimitLoans::read(const std::string &data) const {
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

LimitLoans::Heard LimitLoans::hear(const PeerMessage &message, const Ledgers &ledgers, Micros now) {
    const auto word = read(message.data);
    if (!word)
        ++figures_.malformed;
    if (!word || !set_.peers || !set_.lends || message.from == set_.position)
        return {};
    if (word->kind == kMeet)
        return {introduce(word->volume, message.from, now), {}};
    LimitLedger *const ledger = ledgers(word->volume);
    if (!ledger)
        return {};
    if (word->kind == kHere)
        meet(*ledger, word->hosts, now);
    if (word->kind == kAsk)
        return {answer(*ledger, *word, message.from, now), {}};
    if (word->kind == kGive && take(*ledger, *word, message.from, now))
        return {{}, word->volume};
    return {};
}

// At the meeting place: remembers this one, and tells it of the others.
std::optional<SendPeerMessage> LimitLoans::introduce(VolumeId volume, int who, Micros now) {
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
void LimitLoans::meet(LimitLedger &ledger, const std::vector<int> &hosts, Micros now) const {
    for (const int host : hosts)
        if (host != set_.position)
            ledger.sharers[host].heard = now;
}

std::optional<SendPeerMessage> LimitLoans::answer(LimitLedger &ledger, const Word &request, int to,
                                                  Micros now) {
    if (!set_.peers || !set_.lends || ledger.frozen || ledger.at == 0 || life(ledger) <= 0)
        return std::nullopt;
    settle(ledger, now);
    ledger.sharers[to].heard = now;
    const double keeps = ledger.demand > 0 ? kAhead * ledger.demand + set_.mean_request_units : 0;
    const double may = std::min(ledger.store - keeps, kLentPart * ledger.burst - sum(ledger.lent, now));
    const double units = std::floor(std::min(request.units, may));
    if (units >= 1) {
        ledger.store -= units;
        ledger.lent.push_back(
            {now + static_cast<Micros>(static_cast<double>(life(ledger)) * kDrift) + kMargin, units});
        std::ranges::sort(ledger.lent, {}, &LimitLedger::Loan::until);
        figures_.units_lent += units;
    } // else the answer says only that this broker shares the volume
    return SendPeerMessage{to, spell(kGive, request.volume, request.number, std::max(units, 0.0))};
}

bool LimitLoans::take(LimitLedger &ledger, const Word &grant, int from, Micros now) {
    const auto at = std::ranges::find(ledger.requests, grant.number, &LimitLedger::PendingRequest::number);
    if (at == ledger.requests.end())
        return false;
    const LimitLedger::PendingRequest request = *at;
    ledger.requests.erase(at);
    LimitLedger::Sharer &sharer = ledger.sharers[from];
    sharer.heard = now;
    if (grant.units < 1 || grant.units > request.units || ledger.frozen)
        return false;
    sharer.next = sharer.gap = 0;
    const Micros until = request.at + life(ledger);
    if (now >= until) {
        figures_.units_wasted += grant.units;
        return false;
    }
    figures_.units_borrowed += grant.units;
    ledger.borrowed.push_back({until, grant.units});
    std::ranges::sort(ledger.borrowed, {}, &LimitLedger::Loan::until);
    return true;
}

double LimitLoans::store(const LimitLedger &ledger, Micros now) const {
    return filled(ledger, now);
}
double LimitLoans::lent(const LimitLedger &ledger, Micros now) const {
    return sum(ledger.lent, now);
}
void LimitLoans::inherit(LimitLedger &ledger, double store, double units, Micros now) {
    ledger.store = store, ledger.at = ledger.demand_at = now;
    ledger.lent.clear(), ledger.borrowed.clear();
    if (units > 0)
        ledger.lent.push_back({now + static_cast<Micros>(kLife * kDrift) + kMargin, units});
}
void LimitLoans::freeze(LimitLedger &ledger, bool on, double kept, Micros now) {
    settle(ledger, now);
    ledger.frozen = on;
    ledger.store = on ? std::min(ledger.store, kept) : 0;
    ledger.borrowed.clear();
}

} // namespace marblewood::overload
