#include "test_host.hpp"

namespace marblewood::policy_test {
namespace {

TEST(OutlierDetector, SilenceEjectsANodeAndOneProbeRequestGoesAtATime) {
    TestHost host(basic_settings());
    for (int k = 0; k < 4; ++k)
        host.submit(0);
    host.advance(1040 * kMillisecond);
    EXPECT_TRUE(host.logged("node_ejected node=0 reason=no_answers"));
    const auto before = host.sent.size();
    for (int k = 0; k < 3; ++k)
        host.submit(0);
    host.advance(200 * kMillisecond);
    EXPECT_EQ(host.sent.size(), before + 1);
    host.finish(host.sent.back().id);
    EXPECT_TRUE(host.logged("node_recovered node=0"));
    for (std::size_t k = 0; k < 2; ++k)
        host.finish(host.sent[k].id); // the delayed answers arrive after all
    EXPECT_GT(host.sent.size(), before + 1);
}

TEST(OutlierDetector, AProbeRequestIsIdempotentWhereOneWaits) {
    TestHost host(basic_settings());
    for (int k = 0; k < 4; ++k)
        host.submit(0);
    host.advance(1100 * kMillisecond);
    host.submit(0, 1);
    const RequestId idempotent = host.submit(0, 0);
    host.advance(150 * kMillisecond);
    EXPECT_EQ(host.sent.back().id, idempotent);
}

} // namespace
} // namespace marblewood::policy_test
