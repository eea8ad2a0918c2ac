// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include <optional>

#include "relay_fixture.h"

namespace cypressford {
namespace {

constexpr int kWarmUpStreams = 40; ///< enough to learn usual times and to earn a hedge
constexpr Micros kFirstEvent = 20 * kMillisecond;
constexpr Micros kStream = 200 * kMillisecond;
constexpr Micros kStep = 10 * kMillisecond;
constexpr Micros kDeadline = 8 * kSecond; ///< from a request's arrival

/// Resumable streams at two upstreams, whose usual times are known.
class StreamHedging {
public:
    StreamHedging()
    {
        PipelineSpec spec = pipeline(true);
        spec.stream = true;
        spec.resumable = true;
        m_fixture.publish(spec);
        for (int i = 0; i < kWarmUpStreams; ++i) {
            const SendAttempt send = arrive();
            m_fixture.now += kFirstEvent;
            begin(send);
            m_fixture.now += kStream - kFirstEvent;
            m_fixture.handle(AttemptEnded {send.attempt, AttemptStatus::Ok});
        }
    }

    SendAttempt arrive()
    {
        m_fixture.arrive(m_next++, m_fixture.now + kDeadline);
        REQUIRE(m_fixture.find<SendAttempt>());
        return *m_fixture.find<SendAttempt>();
    }

    void begin(const SendAttempt& send)
    {
        m_fixture.handle(ResponseStarted {send.attempt});
        m_fixture.handle(StreamBegan {send.attempt});
    }

    /// Lets time pass; returns the second attempt if one is sent meanwhile.
    std::optional<SendAttempt> wait(Micros time)
    {
        for (const Micros end = m_fixture.now + time; m_fixture.now < end;) {
            m_fixture.now += kStep;
            m_fixture.handle(Tick {});
            if (const auto* send = m_fixture.find<SendAttempt>())
                return *send;
        }
        return std::nullopt;
    }

    RelayFixture& fixture() { return m_fixture; }

private:
    RelayFixture m_fixture;
    RequestId m_next = 1;
};

// Guards against events that are joined from two runs: the second call of a stream that has
// begun sends events that the caller already has or is about to get from the first call.
TEST_CASE("a stream that has begun is not hedged")
{
    StreamHedging hedging;
    const SendAttempt send = hedging.arrive();
    hedging.begin(send);
    CHECK_FALSE(hedging.wait(10 * kStream));
}

// Guards against a slow first event that the caller waits for although another upstream
// would send it sooner.
TEST_CASE("a stream whose first event is late is hedged")
{
    StreamHedging hedging;
    const SendAttempt send = hedging.arrive();
    hedging.fixture().handle(ResponseStarted {send.attempt});
    const auto hedge = hedging.wait(kStream);
    REQUIRE(hedge);
    CHECK(hedge->upstream != send.upstream);
}

// Guards against two calls that both stream to the caller.
TEST_CASE("the call that brings the first event of a hedged stream ends the other one")
{
    for (const bool hedge_wins : {false, true}) {
        StreamHedging hedging;
        const SendAttempt first = hedging.arrive();
        const auto hedge = hedging.wait(kStream);
        REQUIRE(hedge);
        const AttemptId winner = hedge_wins ? hedge->attempt : first.attempt;
        const AttemptId loser = hedge_wins ? first.attempt : hedge->attempt;
        RelayFixture& fixture = hedging.fixture();
        fixture.handle(StreamBegan {winner});
        REQUIRE(fixture.find<CancelAttempt>());
        CHECK(fixture.find<CancelAttempt>()->attempt == loser);
        // The end of the call that was cancelled does not end the stream.
        fixture.handle(AttemptEnded {loser, AttemptStatus::Lost});
        CHECK_FALSE(fixture.find<Reply>());
        fixture.handle(AttemptEnded {winner, AttemptStatus::Ok});
        REQUIRE(fixture.find<Reply>());
        CHECK_FALSE(fixture.find<Reply>()->error);
    }
}

} // namespace
} // namespace cypressford
