// Watches discovery's list of nodes, from the start of the process to its end. It alone knows how fresh the
// list is: it renews the watch, notices one that has fallen silent, and dials anew after a failure.
//
// Bound promised. While discovery can be reached and answers in time, a change that it has is told to this
// process within 6 s, whatever became of the calls before: a watch waits kWatch at the most and is given up
// kAnswer later, and the pauses between failed calls are bounded (kLongestPause) and jittered.
//
// An answer is taken whole or not at all. One that is malformed, cut short, without end, older than what is
// known, or a part where the whole was asked for changes nothing, and is asked for again.
//
// Where an operator runs distributors (src/distribution/), they are asked in place of discovery: a call that
// fails turns to the next one, whose first answer is not waited for. With one distributor lost or silent a
// change is told within 7 s.
#pragma once

#include "config/decode.hpp"
#include "core/backoff.hpp"
#include "core/mailbox.hpp"
#include "distribution/distributor_selector.hpp"
#include "net/http.hpp"

#include <functional>

namespace marblewood::net::discovery {

// One answer of discovery, read but not yet taken in.
struct Reading {
    std::int64_t revision = 0;
    ListUpdate update;
    std::vector<std::pair<NodeId, std::string>> addresses;
    Json::Value members; // the entries as they were spelt, for those who pass them on
};
// What every answer begins with: its revision, whether it is whole, and that it has a list of members. Throws
// config::Error.
Reading read_envelope(const Json::Value &answer);
// Decodes an answer; throws config::Error. Also for `known` in the configuration.
Reading read(Json::Value answer, config::Names &nodes, config::Names &zones);

/// What was asked and came back since the start. Bytes are those of HTTP messages, without TCP's.
struct Traffic {
    std::uint64_t calls = 0; // written, whether they came through or not
    std::uint64_t sent_bytes = 0, received_bytes = 0;
    std::uint64_t failed = 0;    // no answer, or a status other than 200
    std::uint64_t malformed = 0; // answers that could not be read
    std::uint64_t older = 0;     // answers of a lower revision than what is known
    std::uint64_t partial = 0;   // changes where the whole list was asked for
};

/// The revision of one who has no list at all, and begins by asking for the whole one.
constexpr std::int64_t kNothingKnown = -1;

/// What is watched: by which path, how an answer is read, and what calls say beside what they ask.
struct Feed {
    std::string path;
    std::function<Reading(Json::Value answer)> read; // throws config::Error
    std::function<std::string()> report = nullptr;   // "name=value&...", sent with each call
};
/// The list of nodes. The names outlive the feed.
Feed list_feed(config::Names &nodes, config::Names &zones);

class Discovery {
public:
    using Told = std::function<void(const Reading &)>;

    // Where the settings say that lists are asked for, discovery is one service for all brokers and each call
    // costs it; where they are pushed, the address belongs to an agent on this machine, which answers at no
    // cost, and whatever the agent has counts as told.
    Discovery(asio::io_context &io, core::Deadlines &deadlines, const Settings &settings,
              const tcp::endpoint &at, std::string host, std::int64_t revision, Feed feed, Told told);
    // Watches at another address, and there alone once that has answered; until then what is said at the old
    // address still counts. Its revisions may be counted otherwise, so its whole list is asked for; where it
    // has too many callers for that, the changes alone at first and the whole list a while later.
    void move(const tcp::endpoint &at, std::string host);
    // Asks distributors, which all hold the list of one discovery, from now on: when one fails, the next is
    // asked for what has changed since. A lower revision is never taken from them.
    void use(distribution::DistributorSelector selector) { selector_ = std::move(selector); }
    std::uint64_t calls() const { return traffic_.calls; }
    const Traffic &traffic() const { return traffic_; }

private:
    struct Watch { // at one address
        Watch(asio::io_context &io, tcp::endpoint where, std::string name, core::Backoff wait)
            : at(where), host(std::move(name)), socket(io), woken(io.get_executor()), backoff(wait) {}
        tcp::endpoint at;
        std::string host;
        tcp::socket socket;
        core::Mailbox<bool> woken; // out of a pause
        core::Backoff backoff;
        bool foreign = false;              // its revisions may be counted otherwise than those known
        Micros whole_from = INT64_MAX;     // calls ask for the whole list from then on
        std::optional<std::int64_t> lower; // revision of the last answer, if older than what is known
        bool crowded = false;              // the last call found too many callers there
        bool over = false;
        bool unproven = false; // has not answered yet: the first call to a distributor does not wait
    };
    std::shared_ptr<Watch> open(const tcp::endpoint &at, std::string host, bool foreign);
    static void end(Watch &watch);
    asio::awaitable<void> run(std::shared_ptr<Watch> watch);
    std::string target(std::optional<std::int64_t> since, Micros wait) const; // of a call
    asio::awaitable<std::optional<Reading>> call(Watch &watch, std::string path, Micros wait);
    bool takes(Watch &watch, const Reading &reading, bool whole);
    void select_distributor(Watch &watch);
    static void close(Watch &watch);
    asio::awaitable<void> pause(Watch &watch);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    const Settings settings_;
    Feed feed_;
    Told told_;
    std::int64_t revision_; // of what is known
    std::uint64_t opened_ = 0;
    Traffic traffic_;
    std::optional<distribution::DistributorSelector> selector_;
    std::shared_ptr<Watch> heard_; // what it said last is what is known
    std::shared_ptr<Watch> next_;  // where discovery has moved, until it has answered there
};

} // namespace marblewood::net::discovery
