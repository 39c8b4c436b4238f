/// \file
/// The implementation of Scheduler: it holds the requests and passes each event to the rules that it
/// concerns.
#pragma once

#include "marblewood/scheduler.hpp"
#include "policy/action_sink.hpp"
#include "policy/admission.hpp"
#include "policy/client_retries.hpp"
#include "policy/deadline_agenda.hpp"
#include "policy/handover.hpp"
#include "policy/load_shedder.hpp"
#include "policy/node_monitor.hpp"
#include "policy/node_selector.hpp"
#include "policy/object_placement.hpp"
#include "policy/ordered_keys.hpp"
#include "policy/priority.hpp"
#include "policy/process_lifetime.hpp"
#include "policy/quota_ledger.hpp"
#include "policy/request_deadlines.hpp"
#include "policy/request_queue.hpp"
#include "policy/request_selector.hpp"
#include "policy/retry_budget.hpp"
#include "policy/retry_policy.hpp"

namespace marblewood {

/// A call of handle() has three steps. First the event updates the state of the rules, and the shards whose
/// queue or nodes it changes are collected in `changed_shards_`. Then the queued requests of those shards are
/// dispatched. Finally a timer is set for the next entry of the agenda.
struct Scheduler::State {
public:
    explicit State(const Settings &settings);

    void handle(Micros now, const Event &event, std::vector<Action> &actions);

    EntryCounts entry_counts() const;
    bool tracks(RequestId id) const { return requests_.contains(id); }
    const policy::Node *find_node(NodeId id) const { return nodes_.find(id); }
    OverloadMetrics overload() const {
        return {slow_start_.metrics(), quotas_.metrics(), shedder_.metrics()};
    }
    HandoverState handover_state(std::optional<VolumeId> only) const;

private:
    using Request = policy::Request;
    using Node = policy::Node;
    using AgendaKind = policy::DeadlineAgenda::Kind;

    // Event handlers. Those that concern requests are in scheduler_requests.cpp, the others in scheduler.cpp.
    void on(const ListUpdate &update);
    void on(const RequestArrived &arrival);
    void on(const AttemptEnded &outcome);
    void on(const StreamStarted &event);
    void on(const ClientDisconnected &event);
    void on(const AnswerNow &event);
    void on(const TimerDue &timer);
    void on(const ProbeEnded &event);
    void on(const PeerMessage &message);
    void on(const HandoverState &state);
    void on(const DrainForSuccessor &event);
    void on_due(const policy::DeadlineAgenda::Entry &entry);
    void on_loan_message(const PeerMessage &message);
    void sweep();

    // The stages of a request, from its arrival to its final answer.
    Request &add_request(const RequestArrived &arrival);
    void charge_quota(Request &request);
    void enqueue(Request &request);
    void dispatch(ShardId shard);
    void request_probe_or_grant(Node &node, const policy::Selection &selection);
    void send(Request &request, Node &node);
    void record_outcome(const Request &request, const AttemptEnded &outcome);
    void on_attempt_failed(Request &request, Status status);
    void retry(Request &request, Status status, Micros not_before);
    void on_deadline(Request &request);
    void shed_least_valuable();
    void give_up(Request &request);
    void give_up(Request &request, policy::FinalAnswer answer);
    void close(Request &request, bool served);
    void erase_if_finished(RequestId id);

    // Lookups, and entries of the agenda.
    Request *find_request(RequestId id);
    policy::Attempt *find_in_flight(Request &request, int attempt) const;
    void schedule_end(Request &request);
    void schedule_end_check(Request &request, Micros at);
    void cancel_end_check(Request &request);
    void schedule_in_flight_check(Node &node, Micros at);
    void schedule_recheck(ShardId shard);
    ShardId shard_for_new_object();
    double reserved_units(VolumeId volume) const;

    Settings settings_;
    Micros now_ = 0; // time of the current call of handle()
    policy::ActionSink actions_;
    policy::JitterSource jitter_;
    policy::ProcessLifetime lifetime_;
    policy::DeadlineAgenda agenda_;
    policy::RequestTable requests_;
    policy::RequestQueue queue_;
    policy::NodeTable nodes_;
    std::set<ShardId> changed_shards_; // shards that the current event has changed

    policy::SlowStart slow_start_;
    policy::NodeMonitor node_monitor_;
    policy::HealthChecks health_checks_;
    policy::QuotaLedger quotas_;
    policy::Priority priority_;
    policy::AdmissionController admission_;
    policy::RetryPolicy retry_policy_;
    policy::RetryBudget retry_budget_;
    policy::OrderedKeys ordered_keys_;
    policy::ClientRetries client_retries_;
    policy::ObjectPlacement placement_;
    policy::RequestDeadlines deadlines_;
    policy::RequestSelector selector_;
    policy::LoadShedder shedder_;
};

} // namespace marblewood
