// The dispatcher: owns one Scheduler, its deadlines and its ledger. It tells the module what happens and does
// what the module says; it decides nothing itself.
#pragma once

#include "core/deadlines.hpp"
#include "core/figures.hpp"
#include "core/log.hpp"
#include "core/mailbox.hpp"
#include "core/memory.hpp"
#include "core/request_log.hpp"
#include "core/types.hpp"

#include <map>
#include <set>
#include <unordered_map>

namespace marblewood::core {

// What the module asks of the world beside requests; set by whoever wires the program.
struct DispatcherCallbacks {
    std::function<void(std::optional<int>, const std::string &)> send_peer_message;
};

// Follows requests and attempts from outside, for telemetry. Called on the loop; must not block.
class Observer {
public:
    virtual ~Observer() = default;
    virtual void attempt_ended(RequestId id, const Attempt &attempt, int number, Status status, Micros from,
                               Micros to) = 0;
    virtual void request_ended(RequestId id, const Request &request, const Outcome &outcome, Micros to) = 0;
};

// Takes requests from a front.
class RequestHandler {
public:
    using Answer = std::function<void(Outcome)>;
    virtual ~RequestHandler() = default;
    // `answer` is called exactly once, unless the client leaves before; `over`, where given, once nothing of
    // the request is out any more, whoever has been answered.
    virtual RequestId submit(std::shared_ptr<const Request> request, Answer answer,
                             std::function<void()> over = nullptr) = 0;
    virtual void client_disconnected(RequestId id) = 0;
    // The request gets its final answer soon, whatever time its client has: refused where that is true, else
    // failed. One whose value is being passed on goes on.
    virtual void withdraw(RequestId id) = 0;
};

class RequestDispatcher : public RequestHandler {
public:
    RequestDispatcher(boost::asio::any_io_executor executor, Deadlines &deadlines, Memory &memory,
                      Figures &figures, const Settings &settings, NodePort &port,
                      DispatcherCallbacks surroundings, Observer *observer = nullptr);

    RequestId submit(std::shared_ptr<const Request> request, Answer answer,
                     std::function<void()> over = nullptr) override;
    void client_disconnected(RequestId id) override;
    void withdraw(RequestId id) override;
    void list(const ListUpdate &update);
    void peer_message(PeerMessage message) { tell(std::move(message)); }
    HandoverState handover_state(std::optional<VolumeId> only = {}) const {
        return scheduler_.handover_state(only);
    }
    void restore(const HandoverState &state) { tell(state); }
    void retire(bool on) { tell(DrainForSuccessor{on}); }
    // The program ends then: a request that is taken from now on has its answer by that time, whatever its
    // client would wait.
    void end_by(Micros time) { end_by_ = time; }
    // Whether the node is on the list, or anything is out there.
    bool knows(NodeId node) const { return scheduler_.concurrency_limit(node).has_value(); }
    bool is_avoided(NodeId node) const { return scheduler_.is_avoided(node); }
    OverloadMetrics overload() const { return scheduler_.overload(); }
    std::size_t open() const { return answers_; } // requests that still owe an answer

private:
    struct Left {};
    struct Withdrawn {};
    struct Began {
        int attempt;
    };
    struct Ended {
        int attempt;
        AttemptResult result;
    };
    using Step = std::variant<Send, Refuse, Fail, Cancel, Left, Withdrawn, Began, Ended>;
    struct Life {
        Life(boost::asio::any_io_executor executor, Memory &memory, RequestId number,
             std::shared_ptr<const Request> r, Answer a, std::function<void()> o)
            : id(number), request(std::move(r)), answer(std::move(a)), over(std::move(o)),
              steps(std::move(executor)), held(memory, request->body.size()) {}
        RequestId id;
        std::shared_ptr<const Request> request;
        Answer answer; // empty once given, or once the client has left
        std::function<void()> over;
        std::vector<std::shared_ptr<Attempt>> attempts;
        std::vector<Status> ended;         // how those that have ended did, in the order of their ends
        std::shared_ptr<Attempt> streamed; // whose value is being passed on, until that has ended
        std::size_t out = 0;
        Micros until = 0; // when its time is up
        Mailbox<Step> steps;
        Memory::Share held;
    };

    boost::asio::awaitable<void> live(std::shared_ptr<Life> life);
    boost::asio::awaitable<void> attempt(std::shared_ptr<Life> life, int number);
    boost::asio::awaitable<void> probe(NodeId node);
    void count_repeat(const Life &life);
    void finish(Life &life, Outcome outcome);
    void account(Life &life, const Outcome &outcome);
    bool may_write(const Life &life, NodeId node, Micros until) const;

    void tell(Event event);
    void perform(Action action);
    void to_life(RequestId id, Step step);

    boost::asio::any_io_executor executor_;
    Deadlines &deadlines_;
    Memory &memory_;
    Figures &figures_;
    Settings settings_;
    NodePort &port_;
    DispatcherCallbacks callbacks_;
    Observer *observer_;
    RequestLog request_log_;
    Scheduler scheduler_;
    std::unordered_map<std::uint64_t, std::shared_ptr<Life>> lives_; // the ledger
    std::map<NodeId, NodeState> nodes_;                              // all that are listed and not gone
    std::map<std::uint64_t, Deadlines::Entry> timers_;
    std::deque<Event> events_;
    bool telling_ = false;
    std::uint64_t next_id_ = 1, next_timer_ = 1;
    std::size_t answers_ = 0;
    Micros end_by_ = INT64_MAX;
};

// Where a front hands its requests: who takes one is the wiring's business.
struct FrontEndServices {
    std::function<RequestHandler &(const Request &)> request_handler;
    std::function<std::uint64_t()> fresh; // a random number, for identifiers
    const Settings &settings;
    Deadlines &deadlines;
    Memory &memory;
    const bool &away; // clients are sent away: a front says so to those who ask
    Figures &figures;
};

} // namespace marblewood::core
