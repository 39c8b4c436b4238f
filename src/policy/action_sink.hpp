/// \file
/// Collects the actions that result from one call of Scheduler::handle().
#pragma once

#include "marblewood/actions.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace marblewood::policy {

/// Appends actions to the list that the caller of Scheduler::handle() passed, in the order of the decisions.
class ActionSink {
public:
    /// Sets the list to which actions are appended until the next call of bind(). It must stay valid until
    /// then.
    void bind(std::vector<Action> &actions) { actions_ = &actions; }

    template <typename ActionType> void add(ActionType action) { actions_->emplace_back(std::move(action)); }
    void add_if_any(std::optional<SendPeerMessage> message) {
        if (message)
            actions_->emplace_back(std::move(*message));
    }

private:
    std::vector<Action> *actions_ = nullptr;
};

} // namespace marblewood::policy
