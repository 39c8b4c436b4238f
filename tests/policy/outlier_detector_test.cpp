#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(OutlierDetector, SilenceEjectsANodeAndOneProbeRequestGoesAtATime) {
    TestHost host(basic_settings());
    for (int k = 0; k < 4; ++k)
        host.ask(0);
    host.run(1040 * kMillisecond);
    EXPECT_TRUE(host.logged("node_ejected node=0 reason=no_answers"));
    const auto before = host.sent.size();
    for (int k = 0; k < 3; ++k)
        host.ask(0);
    host.run(200 * kMillisecond);
    EXPECT_EQ(host.sent.size(), before + 1);
    host.end(host.sent.back().id);
    EXPECT_TRUE(host.logged("node_recovered node=0"));
    for (std::size_t k = 0; k < 2; ++k)
        host.end(host.sent[k].id); // what hung comes in after all
    EXPECT_GT(host.sent.size(), before + 1);
}

TEST(OutlierDetector, AProbeRequestIsIdempotentWhereOneWaits) {
    TestHost host(basic_settings());
    for (int k = 0; k < 4; ++k)
        host.ask(0);
    host.run(1100 * kMillisecond);
    host.ask(0, 1);
    const RequestId safe = host.ask(0, 0);
    host.run(150 * kMillisecond);
    EXPECT_EQ(host.sent.back().id, safe);
}

} // namespace
} // namespace marblewood::policy_test
