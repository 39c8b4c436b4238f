/// \file
/// A simulated cluster of a coordinator and brokers. Messages are kept in a list, so that a test controls the
/// order of their delivery. A copy is an independent cluster in the same state.
#pragma once

#include "cells/cell_coordinator.hpp"
#include "cells/cell_member.hpp"
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

inline CellMap two_cells(int brokers_each, int spread) {
    CellMap map;
    map.brokers_per_volume = spread;
    for (const char *name : {"a", "b"}) {
        Cell cell{name, 1000, {}, {std::string("node-") + name}, false, false};
        for (int n = 1; n <= brokers_each; ++n)
            cell.brokers.push_back({name + std::to_string(n), "127.0.0.1:1", "127.0.0.1:2"});
        map.cells.push_back(cell);
    }
    map.pins[kVolume] = "a";
    return map;
}

struct CellCluster {
    static constexpr Micros kStart = 100'000'000;
    static constexpr Micros kBeyondStepTimeout = 2'500'000;

    struct InFlight {
        std::string from; // a broker's name, or kCoordinator
        std::string to;
        Message message;
    };
    // A broker's quota store. A restart of the broker sets its units to zero.
    struct FakeQuotaStore : QuotaStore {
        explicit FakeQuotaStore(std::string broker) : name(std::move(broker)) {}
        std::string name;
        TransferredQuota take(VolumeId) override {
            return {std::exchange(active_cluster->units[name], 0.0), 0, {}};
        }
        void set(VolumeId, double limit, double) override { active_cluster->units[name] = limit; }
        static inline CellCluster *active_cluster = nullptr; // set by activate()
    };

    explicit CellCluster(const CellMap &map) : initial_map(map), coordinator(map, 77, timing()) {
        for (const Cell &cell : map.cells)
            for (const Broker &broker : cell.brokers) {
                quota_stores()[broker.name]; // created once and shared by all clusters
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

    static CellCoordinator::Timing timing() {
        CellCoordinator::Timing timing;
        timing.evacuate_drained = false;
        return timing;
    }
    static std::map<std::string, std::shared_ptr<FakeQuotaStore>> &quota_stores() {
        static std::map<std::string, std::shared_ptr<FakeQuotaStore>> all;
        return all;
    }
    FakeQuotaStore &quota_store(const std::string &name) {
        auto &one = quota_stores()[name];
        if (!one)
            one = std::make_shared<FakeQuotaStore>(name);
        return *one;
    }
    void start(const std::string &name) {
        brokers.erase(name);
        brokers.emplace(name, CellMember(name, quota_store(name), {4'000'000, 0, 1'000'000, 1'000'000}, now));
        brokers.at(name).set_ready_nodes(2);
        if (const auto file = disks.find(name); file != disks.end())
            brokers.at(name).restore(net::link::decode_member_state(file->second));
    }
    // Runs until all brokers have the map and no message is in flight.
    void settle() {
        for (int n = 0; n < 4; ++n) {
            tick(10);
            deliver_all();
        }
        for (const auto &[name, broker] : brokers)
            ASSERT_TRUE(broker.map()) << name;
        ASSERT_TRUE(coordinator.has_quorum());
    }

    void perform(const std::string &by, MemberActions &actions) {
        for (MemberAction &action : actions) {
            if (auto *outgoing = std::get_if<OutgoingMessage>(&action);
                outgoing && !(drop_heartbeats && std::holds_alternative<Heartbeat>(outgoing->message)))
                in_flight.push_back({by, outgoing->to, std::move(outgoing->message)});
            if (std::holds_alternative<SaveState>(action))
                disks[by] = net::link::encode(brokers.at(by).state());
        }
    }
    void perform(CoordinatorActions &actions) {
        for (CoordinatorAction &action : actions) {
            if (auto *outgoing = std::get_if<OutgoingMessage>(&action))
                in_flight.push_back({"", outgoing->to, std::move(outgoing->message)});
            if (std::holds_alternative<SaveState>(action))
                disks[""] = net::link::encode(coordinator.state());
        }
    }
    void activate() { FakeQuotaStore::active_cluster = this; }
    void deliver(std::size_t nth, bool duplicate = false) {
        activate();
        const InFlight flight = in_flight[nth];
        if (!duplicate)
            in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(nth));
        if (flight.to.empty()) {
            CoordinatorActions actions;
            coordinator.on_message(now, flight.from, flight.message, actions);
            perform(actions);
        } else if (const auto to = brokers.find(flight.to); to != brokers.end()) {
            MemberActions actions;
            to->second.on_message(now, flight.from, flight.message, actions);
            perform(flight.to, actions);
        }
    }
    void deliver_all() {
        for (int n = 0; n < 2000 && !in_flight.empty(); ++n)
            deliver(0);
        EXPECT_TRUE(in_flight.empty()) << "messages are still in flight";
    }
    void tick(Micros step) {
        activate();
        now += step;
        CoordinatorActions coordinator_actions;
        coordinator.tick(now, coordinator_actions);
        perform(coordinator_actions);
        for (auto &[name, broker] : brokers) {
            MemberActions actions;
            broker.tick(now, actions);
            perform(name, actions);
        }
    }
    CellCoordinator::OperatorResult move(const std::string &to) {
        CoordinatorActions actions;
        const auto reply = coordinator.move(now, kVolume, to, actions);
        perform(actions);
        return reply;
    }
    RoutingRequest routing_request(std::optional<std::uint64_t> key = std::nullopt,
                                   double units_wanted = 2) const {
        return {kVolume, key, units_wanted, 0, 1, true, now + 1'000'000, 0};
    }
    void begin(const std::string &at, std::optional<std::uint64_t> key = std::nullopt) {
        activate();
        brokers.at(at).on_request_started(now, routing_request(key));
        units[at] -= 2; // the units that the decision module charges for a request
        volume_units -= 2;
    }
    void end(const std::string &at, bool served, std::optional<std::uint64_t> key = std::nullopt) {
        activate();
        MemberActions actions;
        brokers.at(at).on_request_finished(now, routing_request(key), served, actions);
        perform(at, actions);
    }
    // Restarts a broker, or the coordinator if `who` is empty. Messages in flight to it are lost.
    void restart(const std::string &who, bool with_disk = true) {
        activate();
        drop_heartbeats = false; // a restarted process gets its map in reply to a heartbeat
        if (!with_disk)
            disks.erase(who);
        std::erase_if(in_flight, [&](const InFlight &f) { return f.to == who; });
        if (who.empty()) {
            coordinator = CellCoordinator(initial_map, ++origin, timing());
            if (const auto file = disks.find(""); file != disks.end())
                coordinator.restore(net::link::decode_coordinator_state(file->second));
        } else {
            units[who] = 0;
            start(who);
        }
    }

    // Checks the invariants of every state: at most one cell serves the volume, and no quota is created.
    // Returns the violation, if any.
    std::optional<std::string> violation() {
        std::set<std::string> serving;
        for (const auto &[name, broker] : brokers)
            if (broker.route(now, routing_request()).kind == RoutingDecision::Kind::Serve)
                serving.insert(name.substr(0, 1));
        if (serving.size() > 1)
            return "two cells serve the volume";
        double total_units = 0;
        for (const auto &[name, held] : units)
            total_units += held;
        if (total_units > volume_units + 1e-9)
            return fmt::format("the brokers hold {} units of the limit, but only {} remain", total_units,
                               volume_units);
        return std::nullopt;
    }
    // Checks liveness: without further losses and restarts, migrations end and the home cell serves the
    // volume.
    std::optional<std::string> violation_at_end() {
        drop_heartbeats = false;
        for (int n = 0; n < 120; ++n) {
            tick(250'000);
            deliver_all();
            if (auto why = violation())
                return why;
        }
        if (!coordinator.migrations().empty())
            return "the migration did not end: " + coordinator.where(kVolume);
        std::set<std::string> serving;
        for (const auto &[name, broker] : brokers) {
            if (broker.counts().fenced)
                return name + " is still fenced";
            if (broker.route(now, routing_request()).kind == RoutingDecision::Kind::Serve)
                serving.insert(name.substr(0, 1));
        }
        if (serving != std::set<std::string>{coordinator.map().home_cell(kVolume)->name})
            return "the cells that serve the volume are not exactly its home cell";
        return std::nullopt;
    }
    std::string fingerprint() const {
        std::vector<std::string> all{net::link::encode(coordinator.state()), std::to_string(now),
                                     disks_text()};
        for (const auto &[volume, migration] : coordinator.migrations())
            for (const std::string &name : migration.acknowledged)
                all.push_back(name);
        for (const auto &[name, broker] : brokers) {
            const auto counts = broker.counts();
            all.push_back(net::link::encode(broker.state()) + fmt::format("{} {} {} {}", counts.volumes,
                                                                          counts.keys, counts.remote_keys,
                                                                          units.at(name)));
        }
        std::vector<std::string> frames;
        for (const InFlight &f : in_flight)
            frames.push_back(f.to + net::link::encode(net::link::Frame{f.from, f.message}));
        std::sort(frames.begin(), frames.end());
        std::string text;
        for (const auto &part : all)
            text += part + '\n';
        for (const auto &part : frames)
            text += part + '\n';
        return text;
    }
    std::string disks_text() const {
        std::string text;
        for (const auto &[name, bytes] : disks)
            text += name + bytes;
        return text;
    }

    CellMap initial_map;
    // Heartbeats are many and have no effect while all brokers hold the map.
    bool drop_heartbeats = false;
    Micros now = kStart;
    std::uint64_t origin = 77;
    CellCoordinator coordinator;
    std::map<std::string, CellMember> brokers;
    std::map<std::string, double> units;
    double volume_units = 0; // upper limit for the sum of units in all quota stores
    std::map<std::string, std::string> disks;
    std::vector<InFlight> in_flight;
};

} // namespace test
