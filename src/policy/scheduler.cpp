#include "marblewood/scheduler.hpp"

#include "policy/log_events.hpp"
#include "policy/scheduler_state.hpp"
#include "policy/settings_validation.hpp"

#include <algorithm>

namespace marblewood {
namespace {

constexpr Micros kSweepInterval = 1'000'000;

const Settings &validated(const Settings &settings) {
    policy::validate_settings(settings);
    return settings;
}

} // namespace

Scheduler::State::State(const Settings &settings)
    : settings_(validated(settings)), jitter_(settings_.seed), slow_start_(settings_),
      node_monitor_(settings_, requests_, slow_start_, jitter_, actions_), health_checks_(settings_),
      quotas_(settings_, lifetime_), priority_(settings_), admission_(settings_, priority_, quotas_),
      retry_policy_(settings_), retry_budget_(settings_), client_retries_(settings_), placement_(settings_),
      deadlines_(settings_), selector_(retry_policy_, retry_budget_, ordered_keys_, priority_, admission_,
                                       slow_start_, nodes_, lifetime_),
      shedder_(settings_, nodes_, requests_, queue_, priority_, quotas_, slow_start_, lifetime_) {}

void Scheduler::State::handle(Micros now, const Event &event, std::vector<Action> &actions) {
    now_ = std::max(now_, now);
    actions_.bind(actions);
    if (!lifetime_.started()) {
        lifetime_.start(now_);
        agenda_.add(now_ + kSweepInterval, AgendaKind::Sweep, 0);
    }
    std::visit([&](const auto &alternative) { on(alternative); }, event);
    for (const ShardId shard : changed_shards_) {
        dispatch(shard);
        schedule_recheck(shard);
        if (nodes_.serving(shard).empty())
            queue_.forget_if_empty(shard);
    }
    changed_shards_.clear();
    if (quotas_.in_shortage())
        for (SendPeerMessage &message :
             quotas_.request_loans([this](VolumeId volume) { return reserved_units(volume); }, now_))
            actions_.add(std::move(message));
    if (const auto delay = agenda_.arm(now_))
        actions_.add(SetTimer{0, *delay});
}

void Scheduler::State::on(const ListUpdate &update) {
    nodes_.apply(update, slow_start_, now_, changed_shards_, actions_);
}

void Scheduler::State::on(const ProbeEnded &event) {
    Node *const node = nodes_.find(event.node);
    if (!node || event.status != Status::Ok)
        return;
    if (node_monitor_.record_health_check(*node, event.report, now_))
        changed_shards_.insert(node->entry().shard);
}

void Scheduler::State::on(const PeerMessage &message) {
    if (policy::QuotaLedger::handles_message(message.data)) {
        on_loan_message(message);
        return;
    }
    const auto parsed = slow_start_.parse(message.data);
    if (!parsed)
        return;
    Node *const node = nodes_.find_ready(parsed->node);
    if (!node)
        return;
    if (parsed->kind == overload::SlowStartMessage::Kind::Grant) {
        if (slow_start_.accept(node->slow_start, *parsed, now_))
            changed_shards_.insert(node->entry().shard);
        return;
    }
    const Micros since = lifetime_.slow_start_since(now_);
    actions_.add_if_any(slow_start_.answer(node->slow_start, *parsed, message.from, now_, since));
}

void Scheduler::State::on_loan_message(const PeerMessage &message) {
    auto result = quotas_.on_peer_message(message, now_);
    actions_.add_if_any(std::move(result.answer));
    if (!result.replenished)
        return;
    for (const auto &[id, request] : requests_)
        if (request.waiting && request.arrival.volume == *result.replenished)
            changed_shards_.insert(request.shard);
}

void Scheduler::State::on(const HandoverState &state) {
    lifetime_.inherit(state.started_at);
    for (const HandoverState::VolumeQuota &quota : state.quotas)
        quotas_.restore(quota);
    for (const HandoverState::NodeHistory &history : state.nodes) {
        Node *const node = nodes_.find(history.node);
        if (node && policy::restore_node_history(*node, history, slow_start_, requests_, now_))
            actions_.add(policy::log_slow_start_began(node->id));
    }
}

void Scheduler::State::on(const DrainForSuccessor &event) {
    lifetime_.set_draining(event.on);
    quotas_.freeze(
        event.on, [this](VolumeId volume) { return reserved_units(volume); }, now_);
}

HandoverState Scheduler::State::handover_state(std::optional<VolumeId> only) const {
    const Micros since = lifetime_.deciding_since();
    if (only)
        if (const auto quota = quotas_.inherited_quota(*only))
            return {since, {*quota}, {}};
    const auto reserved = [this](VolumeId volume) { return reserved_units(volume); };
    return {since, quotas_.capture(only, reserved, now_), policy::capture_node_histories(nodes_)};
}

double Scheduler::State::reserved_units(VolumeId volume) const {
    double units = 0;
    for (const auto &[id, request] : requests_)
        if (request.arrival.volume == volume && request.open && !request.charged && request.has_rate_limit())
            units += request.arrival.units;
    return units;
}

void Scheduler::State::on(const TimerDue &timer) {
    if (timer.token != 0)
        return;
    agenda_.timer_fired(now_);
    while (const auto entry = agenda_.pop_due(now_))
        on_due(*entry);
}

void Scheduler::State::on_due(const policy::DeadlineAgenda::Entry &entry) {
    switch (entry.kind) {
    case AgendaKind::Sweep:
        sweep();
        break;
    case AgendaKind::ShardRecheck:
        changed_shards_.insert(ShardId(entry.subject));
        break;
    case AgendaKind::InFlightCheck:
        if (Node *const node = nodes_.find(NodeId(entry.subject))) {
            node->in_flight_check_pending = false;
            if (const auto next = node_monitor_.check_in_flight(*node, now_))
                schedule_in_flight_check(*node, *next);
        }
        break;
    case AgendaKind::RequestEnd:
        if (Request *const request = find_request(RequestId{entry.subject}))
            on_deadline(*request);
        break;
    }
}

void Scheduler::State::sweep() {
    agenda_.add(now_ + kSweepInterval, AgendaKind::Sweep, 0);
    retry_budget_.forget_old(now_);
    for (auto &[id, node] : nodes_.all())
        slow_start_.forget_old(node.slow_start, now_);
    quotas_.forget_idle(now_);
    queue_.forget_unused([this](ShardId shard) { return !nodes_.serving(shard).empty(); });
    placement_.forget_old(now_);
    client_retries_.forget_old(now_);
    ordered_keys_.forget_idle(now_);
}

Scheduler::EntryCounts Scheduler::State::entry_counts() const {
    EntryCounts counts{.requests = requests_.size(),
                       .keys = ordered_keys_.size(),
                       .volumes = quotas_.size(),
                       .nodes = nodes_.all().size(),
                       .shard_queues = queue_.shards(),
                       .unserved = client_retries_.size(),
                       .scheduled = agenda_.size()};
    for (const auto &[id, request] : requests_)
        counts.attempts_in_flight +=
            static_cast<std::size_t>(std::ranges::count_if(request.attempts, &policy::Attempt::in_flight));
    return counts;
}

Scheduler::Scheduler(const Settings &settings) : state_(std::make_unique<State>(settings)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

void Scheduler::handle(Micros now, const Event &event, std::vector<Action> &actions) {
    state_->handle(now, event, actions);
}

bool Scheduler::tracks(RequestId id) const {
    return state_->tracks(id);
}

Scheduler::EntryCounts Scheduler::entry_counts() const {
    return state_->entry_counts();
}

std::optional<double> Scheduler::concurrency_limit(NodeId id) const {
    const policy::Node *const node = state_->find_node(id);
    return node ? std::optional(node->limit.value()) : std::nullopt;
}

OverloadMetrics Scheduler::overload() const {
    return state_->overload();
}

bool Scheduler::is_avoided(NodeId id) const {
    const policy::Node *const node = state_->find_node(id);
    return node && (!node->ready || node->health.ejected);
}

HandoverState Scheduler::handover_state(std::optional<VolumeId> only) const {
    return state_->handover_state(only);
}

} // namespace marblewood
