#include "policy/retry_budget.hpp"

#include <gtest/gtest.h>

namespace marblewood::policy {
namespace {

Settings settings_with_budget() {
    Settings settings;
    settings.retry_budget_window = 1'000'000;
    settings.retry_budget_free = 1;
    settings.retry_budget_fraction = 0.5;
    return settings;
}

TEST(RetryBudget, AllowsTheFreeRetriesAndAFractionOfTheRequests) {
    RetryBudget budget(settings_with_budget());
    EXPECT_TRUE(budget.allows_retry(0));
    budget.record_retry(0);
    EXPECT_FALSE(budget.allows_retry(0));
    budget.record_request(0);
    EXPECT_FALSE(budget.allows_retry(0)); // 2 retries > 1 + 0.5 x 1
    budget.record_request(0);
    EXPECT_TRUE(budget.allows_retry(0));
}

TEST(RetryBudget, ForgetsWhatLeftTheWindow) {
    RetryBudget budget(settings_with_budget());
    budget.record_retry(0);
    EXPECT_FALSE(budget.allows_retry(1'000'000));
    EXPECT_TRUE(budget.allows_retry(1'000'001));
    budget.forget_old(1'000'001);
    EXPECT_TRUE(budget.allows_retry(1'000'001));
}

TEST(RetryBudget, WithoutAWindowAllowsEveryRetry) {
    RetryBudget budget{Settings{}};
    for (int retry = 0; retry < 100; ++retry)
        budget.record_retry(0);
    EXPECT_TRUE(budget.allows_retry(0));
}

} // namespace
} // namespace marblewood::policy
