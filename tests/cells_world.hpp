// A keeper and brokers with nothing between them but a bag of messages: for tests that drive them through
// orders of events that no network would give on demand. Copied as a whole, it is a state to go on from in
// more ways than one.
#pragma once

#include "net/link/codec.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <random>

namespace test {

using marblewood::Micros;
using marblewood::VolumeId;
namespace net = marblewood::net;
using namespace marblewood::cells;

constexpr VolumeId kVolume{0x3b4d60021};

inline Map two_cells(int brokers_each, int spread) {
    Map map;
    map.spread = spread;
    for (const char *name : {"a", "b"}) {
        Cell cell{name, 1000, {}, {std::string("node-") + name}, false, false};
        for (int n = 1; n <= brokers_each; ++n)
            cell.brokers.push_back({name + std::to_string(n), "127.0.0.1:1", "127.0.0.1:2"});
        map.cells.push_back(cell);
    }
    map.pins[kVolume] = "a";
    return map;
}

struct World {
    static constexpr Micros kStart = 100'000'000, kStep = 2'500'000;

    struct Flight {
        std::string from, to; // empty: the keeper
        Message message;
    };
    // The module's stores, by broker. A process that dies takes its own with it.
    struct Purse : Stores {
        explicit Purse(std::string n) : name(std::move(n)) {}
        std::string name;
        Left take(VolumeId) override { return {std::exchange(now->units[name], 0.0), 0, {}}; }
        void give(VolumeId, double limit, double) override { now->units[name] = limit; }
        static inline World *now = nullptr; // the world that is being acted on
    };

    explicit World(const Map &map) : first(map), keeper(map, 77, timing()) {
        for (const Cell &cell : map.cells)
            for (const Broker &broker : cell.brokers) {
                purses()[broker.name]; // made once, for all worlds
                start(broker.name);
                units[broker.name] = 0;
            }
        for (const Broker *b : map.brokers_of(kVolume, *map.cell("a")))
            units[b->name] = kUnits;
        for (const auto &[name, r] : brokers)
            volume_units += units[name];
        settle();
    }
    static constexpr double kUnits = 40;

    static Keeper::Timing timing() {
        Keeper::Timing t;
        t.evacuate_drained = false;
        return t;
    }
    static std::map<std::string, std::shared_ptr<Purse>> &purses() {
        static std::map<std::string, std::shared_ptr<Purse>> all;
        return all;
    }
    Purse &purse(const std::string &name) {
        auto &one = purses()[name];
        if (!one)
            one = std::make_shared<Purse>(name);
        return *one;
    }
    void start(const std::string &name) {
        brokers.erase(name);
        brokers.emplace(name, Resident(name, purse(name), {4'000'000, 0, 1'000'000, 1'000'000}, now));
        brokers.at(name).ready_nodes(2);
        if (const auto file = disks.find(name); file != disks.end())
            brokers.at(name).restore(net::link::decode_resident(file->second));
    }
    void settle() { // all know the map, nothing is on its way
        for (int n = 0; n < 4; ++n) {
            tick(10);
            deliver_all();
        }
        for (const auto &[name, broker] : brokers)
            ASSERT_TRUE(broker.map()) << name;
        ASSERT_TRUE(keeper.settled());
    }

    void perform(const std::string &by, std::vector<Action> &actions) {
        for (Action &action : actions) {
            if (auto *post = std::get_if<Post>(&action);
                post && !(quiet && std::holds_alternative<Hello>(post->message)))
                flights.push_back({by, post->to, std::move(post->message)});
            if (std::holds_alternative<Save>(action))
                disks[by] = net::link::encode(brokers.at(by).state());
        }
    }
    void perform(std::vector<KeeperAction> &actions) {
        for (KeeperAction &action : actions) {
            if (auto *post = std::get_if<Post>(&action))
                flights.push_back({"", post->to, std::move(post->message)});
            if (std::holds_alternative<Save>(action))
                disks[""] = net::link::encode(keeper.state());
        }
    }
    void act() { Purse::now = this; }
    void deliver(std::size_t nth, bool keep = false) {
        act();
        const Flight flight = flights[nth];
        if (!keep)
            flights.erase(flights.begin() + static_cast<std::ptrdiff_t>(nth));
        if (flight.to.empty()) {
            std::vector<KeeperAction> actions;
            keeper.handle(now, flight.from, flight.message, actions);
            perform(actions);
        } else if (const auto to = brokers.find(flight.to); to != brokers.end()) {
            std::vector<Action> actions;
            to->second.handle(now, flight.from, flight.message, actions);
            perform(flight.to, actions);
        }
    }
    void deliver_all() {
        for (int n = 0; n < 2000 && !flights.empty(); ++n)
            deliver(0);
        EXPECT_TRUE(flights.empty()) << "messages without end";
    }
    void tick(Micros step) {
        act();
        now += step;
        std::vector<KeeperAction> told;
        keeper.tick(now, told);
        perform(told);
        for (auto &[name, broker] : brokers) {
            std::vector<Action> actions;
            broker.tick(now, actions);
            perform(name, actions);
        }
    }
    Keeper::Reply move(const std::string &to) {
        std::vector<KeeperAction> actions;
        const auto reply = keeper.move(now, kVolume, to, actions);
        perform(actions);
        return reply;
    }
    Asked asked(std::optional<std::uint64_t> key = std::nullopt, double wanted = 2) const {
        return {kVolume, key, wanted, 0, 1, true, now + 1'000'000, 0};
    }
    void begin(const std::string &at, std::optional<std::uint64_t> key = std::nullopt) {
        act();
        brokers.at(at).began(now, asked(key));
        units[at] -= 2; // the module charges it as it sends
        volume_units -= 2;
    }
    void end(const std::string &at, bool served, std::optional<std::uint64_t> key = std::nullopt) {
        act();
        std::vector<Action> actions;
        brokers.at(at).ended(now, asked(key), served, actions);
        perform(at, actions);
    }
    void restart(const std::string &who, bool with_disk = true) { // what is on its way to it is lost
        act();
        quiet = false; // who starts anew must be told, or tell
        if (!with_disk)
            disks.erase(who);
        std::erase_if(flights, [&](const Flight &f) { return f.to == who; });
        if (who.empty()) {
            keeper = Keeper(first, ++origin, timing());
            if (const auto file = disks.find(""); file != disks.end())
                keeper.restore(net::link::decode_keeper(file->second));
        } else {
            units[who] = 0;
            start(who);
        }
    }

    // What must hold in every state.
    std::optional<std::string> broken() {
        std::set<std::string> serving;
        for (const auto &[name, broker] : brokers)
            if (broker.route(now, asked()).kind == Route::Kind::Serve)
                serving.insert(name.substr(0, 1));
        if (serving.size() > 1)
            return "two cells serve the volume";
        double sum = 0;
        for (const auto &[name, held] : units)
            sum += held;
        if (sum > volume_units + 1e-9)
            return fmt::format("{} units of limit where {} are left", sum, volume_units);
        return std::nullopt;
    }
    // What must come about once messages arrive and nobody dies any more.
    std::optional<std::string> ends_well() {
        quiet = false;
        for (int n = 0; n < 120; ++n) {
            tick(250'000);
            deliver_all();
            if (auto why = broken())
                return why;
        }
        if (!keeper.moves().empty())
            return "a move without end: " + keeper.where(kVolume);
        std::set<std::string> serving;
        for (const auto &[name, broker] : brokers) {
            if (broker.held().fenced)
                return name + " is still fenced";
            if (broker.route(now, asked()).kind == Route::Kind::Serve)
                serving.insert(name.substr(0, 1));
        }
        if (serving != std::set<std::string>{keeper.map().home(kVolume)->name})
            return "nobody serves where it lives";
        return std::nullopt;
    }
    std::string fingerprint() const {
        std::vector<std::string> all{net::link::encode(keeper.state()), std::to_string(now), disks_text()};
        for (const auto &[volume, move] : keeper.moves())
            for (const std::string &name : move.done)
                all.push_back(name);
        for (const auto &[name, broker] : brokers) {
            const auto held = broker.held();
            all.push_back(net::link::encode(broker.state()) +
                          fmt::format("{} {} {} {}", held.volumes, held.keys, held.afar, units.at(name)));
        }
        std::vector<std::string> way;
        for (const Flight &f : flights)
            way.push_back(f.to + net::link::encode(net::link::Frame{f.from, f.message}));
        std::sort(way.begin(), way.end());
        std::string text;
        for (const auto &part : all)
            text += part + '\n';
        for (const auto &part : way)
            text += part + '\n';
        return text;
    }
    std::string disks_text() const {
        std::string text;
        for (const auto &[name, bytes] : disks)
            text += name + bytes;
        return text;
    }

    Map first;
    bool quiet = false; // no Hello: they are many, and change nothing while all know the map
    Micros now = kStart;
    std::uint64_t origin = 77;
    Keeper keeper;
    std::map<std::string, Resident> brokers;
    std::map<std::string, double> units;
    double volume_units = 0; // that the stores together may hold
    std::map<std::string, std::string> disks;
    std::vector<Flight> flights;
};

} // namespace test
