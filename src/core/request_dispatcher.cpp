#include "core/request_dispatcher.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace marblewood::core {

namespace asio = boost::asio;

namespace {

// What a coroutine of ours lets out is a fault of the program: it must be seen, not swallowed.
void report(const std::exception_ptr &error) {
    if (error)
        std::rethrow_exception(error);
}

} // namespace

RequestDispatcher::RequestDispatcher(asio::any_io_executor executor, Deadlines &deadlines, Memory &memory,
                                     Figures &figures, const Settings &settings, NodePort &port,
                                     DispatcherCallbacks surroundings, Observer *observer)
    : executor_(std::move(executor)), deadlines_(deadlines), memory_(memory), figures_(figures),
      settings_(settings), port_(port), callbacks_(std::move(surroundings)), observer_(observer),
      request_log_(deadlines.clock), scheduler_(settings) {}

RequestId RequestDispatcher::submit(std::shared_ptr<const Request> request, Answer answer,
                                    std::function<void()> over) {
    const RequestId id{next_id_++};
    auto life = std::make_shared<Life>(executor_, memory_, id, std::move(request), std::move(answer),
                                       std::move(over));
    ++answers_;
    // No room to hold it, or no time to answer it: nothing has run, and the client learns so at once.
    if (memory_.full() || life->request->refuse_at_once) {
        const bool closing =
            life->request->refuse_at_once; // it may come again at once, on another connection
        if (closing)
            ++figures_.refused_closing, ++figures_.unsent;
        finish(*life, {Outcome::Kind::Refused, {}, closing ? 0 : settings_.max_retry_after, true});
        if (life->over)
            life->over();
        return id;
    }
    lives_.emplace(static_cast<std::uint64_t>(id), life);
    asio::co_spawn(executor_, live(std::move(life)), report);
    return id;
}

// One request's life.
asio::awaitable<void> RequestDispatcher::live(std::shared_ptr<Life> life) {
    // It arrives. What the network and this process have eaten of the client's time is gone.
    RequestArrived arrived = life->request->facts;
    arrived.id = life->id;
    life->until = std::min(life->request->sent + life->request->wait, end_by_);
    arrived.time_left = std::max<Micros>(life->until - deadlines_.clock.now(), 0);
    tell(arrived);

    // The module says what is done, and learns how it went, until it has no more interest in the request.
    while (life->answer || life->out > 0 || scheduler_.tracks(life->id)) {
        Step step = co_await life->steps.take();
        if (const auto *send = std::get_if<Send>(&step)) {
            auto out = std::make_shared<Attempt>();
            out->request = life->request;
            out->node = send->node;
            out->started = deadlines_.clock.now();
            out->expires = send->expires > 0 ? send->expires : life->until;
            const Micros until = send->start_by > 0 ? std::min(out->expires, send->start_by) : out->expires;
            out->may_write = [this, life = life.get(), node = out->node, until] {
                return may_write(*life, node, until);
            };
            out->written = [this] { ++figures_.sends; };
            out->begin = [this, life = life.get(), out = out.get(),
                          n = static_cast<int>(life->attempts.size())](std::size_t length) {
                out->stream = std::make_shared<Stream>(executor_, memory_, length);
                life->steps.put(Began{n});
            };
            if (!life->attempts.empty())
                count_repeat(*life);
            life->attempts.push_back(std::move(out));
            ++life->out;
            asio::co_spawn(executor_, attempt(life, static_cast<int>(life->attempts.size()) - 1), report);
        } else if (const auto *cancel = std::get_if<Cancel>(&step)) {
            const auto number = static_cast<std::size_t>(cancel->attempt);
            if (number < life->attempts.size())
                life->attempts[number]->stop(Status::Cancelled);
        } else if (const auto *began = std::get_if<Began>(&step)) { // a long value: passed on as it comes
            const auto &from = life->attempts[began->attempt];
            if (!life->answer) {
                from->stream->abandon();
                continue;
            }
            life->streamed = from;
            tell(StreamStarted{life->id, began->attempt});
            std::exchange(life->answer, nullptr)({Outcome::Kind::Served, {}, 0, true, from->stream});
        } else if (auto *ended = std::get_if<Ended>(&step)) {
            --life->out;
            const AttemptResult &result = ended->result;
            life->ended.push_back(result.status);
            AttemptEnded event{life->id, ended->attempt, result.status,       0,
                               false,    result.used,    result.remote_units, result.report};
            event.latency = deadlines_.clock.now() - life->attempts[event.attempt]->started;
            if (life->streamed ==
                life->attempts[event.attempt]) { // what was begun is whole, or will never be
                const bool whole = life->streamed->stream->whole();
                if (!whole)
                    ++figures_.broken;
                account(*life, {whole ? Outcome::Kind::Served : Outcome::Kind::Failed, {}, 0, true});
                life->streamed = nullptr;
            } else if (result.status == Status::Ok) { // the first value served is the answer
                finish(*life, {Outcome::Kind::Served, std::move(ended->result.value), 0, true});
            }
            event.closed = !life->answer;
            tell(event);
        } else if (const auto *refuse = std::get_if<Refuse>(&step)) {
            if (life->attempts.empty() && life->answer)
                ++figures_.unsent;
            finish(*life,
                   {Outcome::Kind::Refused, {}, settings_.retry_after ? refuse->retry_after : 0, true});
        } else if (std::holds_alternative<Fail>(step)) {
            const Idempotency idempotency = settings_.classes[life->request->facts.cls].idempotency;
            finish(*life, {Outcome::Kind::Failed, {}, 0, idempotency == Idempotency::Idempotent});
        } else if (std::holds_alternative<Withdrawn>(step)) {
            if (life->answer)
                ++figures_.withdrawn;
            tell(AnswerNow{life->id});
        } else { // the client has left: nobody is there to be answered
            if (std::exchange(life->answer, nullptr))
                --answers_;
            if (life->streamed) {
                life->streamed->stream->abandon();
                life->streamed->stop(Status::Cancelled);
            }
            tell(ClientDisconnected{life->id});
        }
    }
    lives_.erase(static_cast<std::uint64_t>(life->id));
    if (life->over)
        life->over();
}

// One attempt: run by the node port, until its time is up at the latest.
asio::awaitable<void> RequestDispatcher::attempt(std::shared_ptr<Life> life, int number) {
    const std::shared_ptr<Attempt> out = life->attempts[number];
    const auto expiry = deadlines_.at(out->expires, [&out = *out] {
        if (!out.stream)
            out.stop(Status::Timeout); // what has begun to come goes on
    });
    AttemptResult result = co_await port_.run(out);
    if (observer_)
        observer_->attempt_ended(life->id, *out, number, result.status, out->started, deadlines_.clock.now());
    life->steps.put(Ended{number, std::move(result)});
}

void RequestDispatcher::count_repeat(const Life &life) {
    if (life.out > 0)
        ++figures_.hedges;
    else
        ++figures_.repeats[static_cast<std::size_t>(life.ended.back())];
}

void RequestDispatcher::finish(Life &life, Outcome outcome) {
    if (!life.answer)
        return;
    account(life, outcome);
    std::exchange(life.answer, nullptr)(std::move(outcome));
}

void RequestDispatcher::account(Life &life, const Outcome &outcome) {
    --answers_;
    ++figures_.of(life.request->facts.cls, outcome.kind);
    request_log_.request_ended(*life.request, outcome, life.ended, life.attempts.size());
    if (observer_)
        observer_->request_ended(life.id, *life.request, outcome, deadlines_.clock.now());
}

// Between a Send and its first byte a connection may have to come up. Meanwhile time may run out, the client
// may leave, the node may drain, and the time in which a repeat is dropped may end; work sent then would be
// wasted, run twice, or break the rule on drains.
bool RequestDispatcher::may_write(const Life &life, NodeId node, Micros until) const {
    const auto listed = nodes_.find(node);
    return life.answer && deadlines_.clock.now() < until && listed != nodes_.end() &&
           listed->second == NodeState::Ready;
}

void RequestDispatcher::client_disconnected(RequestId id) {
    to_life(id, Left{});
}
void RequestDispatcher::withdraw(RequestId id) {
    to_life(id, Withdrawn{});
}

void RequestDispatcher::list(const ListUpdate &update) {
    if (update.kind != ListUpdate::Kind::Changes)
        nodes_.clear();
    for (const NodeEntry &entry : update.entries)
        if (entry.state == NodeState::Gone)
            nodes_.erase(entry.node);
        else
            nodes_[entry.node] = entry.state;
    tell(update);
}

asio::awaitable<void> RequestDispatcher::probe(NodeId node) {
    const Micros from = deadlines_.clock.now();
    ++figures_.probes;
    const ProbeResult result = co_await port_.probe(node);
    tell(ProbeEnded{node, result.status, deadlines_.clock.now() - from, result.report});
}

// The module is not to be entered twice: what happens while it is being told waits its turn.
void RequestDispatcher::tell(Event event) {
    events_.push_back(std::move(event));
    if (telling_)
        return;
    telling_ = true;
    std::vector<Action> actions;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        scheduler_.handle(deadlines_.clock.now(), next, actions);
        for (Action &action : actions)
            perform(std::move(action));
    }
    telling_ = false;
}

void RequestDispatcher::perform(Action action) {
    if (auto *send = std::get_if<Send>(&action))
        return to_life(send->id, *send);
    if (auto *refuse = std::get_if<Refuse>(&action))
        return to_life(refuse->id, *refuse);
    if (auto *fail = std::get_if<Fail>(&action))
        return to_life(fail->id, *fail);
    if (auto *cancel = std::get_if<Cancel>(&action))
        return to_life(cancel->id, *cancel);
    if (const auto *ask = std::get_if<Probe>(&action)) {
        asio::co_spawn(executor_, probe(ask->node), report);
    } else if (const auto *close = std::get_if<CloseIdle>(&action)) {
        port_.close_idle(close->node);
    } else if (const auto *timer = std::get_if<SetTimer>(&action)) {
        const auto number = next_timer_++;
        timers_[number] = deadlines_.in(timer->delay, [this, number, token = timer->token] {
            timers_.erase(number);
            tell(TimerDue{token});
        });
    } else if (const auto *words = std::get_if<SendPeerMessage>(&action)) {
        callbacks_.send_peer_message(words->peer, words->data);
    } else {
        log("{}", std::get<Log>(action).text);
    }
}

void RequestDispatcher::to_life(RequestId id, Step step) {
    if (const auto life = lives_.find(static_cast<std::uint64_t>(id)); life != lives_.end())
        life->second->steps.put(std::move(step));
}

} // namespace marblewood::core
