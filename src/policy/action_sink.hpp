/// \file
/// Where the rules append the actions of one call.
#pragma once

#include "marblewood/actions.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace marblewood::policy {

/// Appends actions to the list of the caller of Scheduler::handle(), in the order in which they are decided.
class ActionSink {
public:
    /// Actions go to this list, which must stay valid, until the next call.
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
