// A broker in a cell: stands between the fronts and the dispatchers. It sends each request to where its
// volume lives, holds those of a volume that is being moved, and carries the cells' messages. What is
// decided, cells::Resident decides.
#pragma once

#include "cells/resident.hpp"
#include "core/request_dispatcher.hpp"
#include "net/cells/layout.hpp"
#include "net/link/outbox.hpp"
#include "net/resp/node_port.hpp"

namespace marblewood::net::cells {

struct Counts { // since the start
    std::uint64_t forwarded = 0, waited = 0, refused = 0;
};

class Residence : public core::RequestHandler, private marblewood::cells::Stores {
public:
    using Usual = std::function<core::RequestDispatcher &(const core::Request &)>;

    // `listener` is where keeper and brokers call. Throws std::runtime_error where the state on disk is
    // spoilt.
    Residence(asio::io_context &io, core::Deadlines &deadlines, core::MemoryBudget &memory,
              SocketBudget &budget, const Settings &settings, Layout layout, std::string name,
              tcp::acceptor listener, std::uint64_t seed, Usual usual);
    // Called whenever the cell's nodes may have changed.
    std::function<void()> confined;
    // Whether a node is of this broker's cell.
    bool allows(const std::string &node) const;
    void ready_nodes(std::size_t count);
    void start();

    RequestId submit(std::shared_ptr<const core::Request> request, CompletionCallback answer,
                     std::function<void()> over = nullptr) override;
    void client_disconnected(RequestId id) override;
    void answer_now(RequestId id) override;

    // An operator's call, answered by the keeper; empty: it does not answer.
    asio::awaitable<std::optional<link::Reply>> ask_keeper(std::string what, std::string body);
    // What this broker knows by itself, a line each.
    std::string spell() const;
    std::string stats() const; // figures, a line each, in the form of StatsD

private:
    struct Entry {
        std::shared_ptr<const core::Request> request;
        CompletionCallback answer;
        marblewood::cells::Asked asked;
        core::RequestDispatcher *dispatcher = nullptr; // Serve
        RequestId there{};
        std::shared_ptr<core::Attempt> attempt; // Forward
        bool waits = false;
        core::Deadlines::Entry patience;
        std::unique_ptr<core::MemoryBudget::Reservation> held; // Forward, Wait: its body
    };
    using Id = std::uint64_t;

    marblewood::cells::Left take(VolumeId volume) override;
    void give(VolumeId volume, double limit, double reserve) override;

    marblewood::cells::Asked asked(const core::Request &request) const;
    void route(Id id);
    void serve(Id id, const marblewood::cells::Route &route);
    void hold(Id id);
    void refuse(Id id);
    void finish(Id id, core::Outcome outcome);
    asio::awaitable<void> forward(Id id, std::string broker, std::string cell,
                                  std::shared_ptr<const core::Request> asked, marblewood::cells::Asked about);
    NodeId number(const std::string &broker);
    void perform(std::vector<marblewood::cells::Action> &actions);
    void take_map();
    void heard(const link::Frame &frame);
    void tick();

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    core::MemoryBudget &memory_;
    const Settings &settings_;
    const Layout layout_;
    Usual usual_;
    marblewood::cells::Resident resident_;
    link::Link link_;
    link::StateFile file_;
    link::Outbox outbox_;
    resp::NodePort relay_;
    std::map<std::string, NodeId> numbers_;
    std::map<std::string, int> out_; // forwarded, by cell
    std::map<Id, Entry> entries_;
    std::map<VolumeId, std::vector<Id>> held_;
    std::size_t waiting_ = 0;
    Id last_ = 0;
    std::map<std::uint64_t, std::function<void(link::Reply)>> calls_;
    std::uint64_t last_call_ = 0;
    std::map<std::string, Micros> told_; // when brokers were last asked for a newer map
    core::Deadlines::Entry tick_;
    Counts counts_;
};

} // namespace marblewood::net::cells
