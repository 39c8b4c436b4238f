#include "app/app.hpp"
#include "app/broker.hpp"

namespace marblewood::app {

void serve(const std::string &path, config::Config config, const config::Operator &operator_config,
           core::BlockedSignal &blocked_hangup) {
    Broker broker(path, std::move(config), operator_config);
    broker.run(blocked_hangup);
}

} // namespace marblewood::app
