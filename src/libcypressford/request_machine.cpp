// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "request_machine.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace cypressford {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

// Events of the machine.
struct ClaimRequired { };
struct ClaimWon { };
struct PreparationRequired { };
struct PreparationMade { };
struct SlotGranted { };
struct HedgeDue { };
struct StageDone { };
struct AttemptLost { };
struct Abort {
    ErrorKind kind;
};

struct Definition : msm::front::state_machine_def<Definition> {
    explicit Definition(RequestHost& host_)
        : host(&host_)
    {
    }
    RequestHost* host;

    // In the order of RequestState.
    struct Waiting : msm::front::state<> { };
    struct Claiming : msm::front::state<> { };
    struct Preparing : msm::front::state<> { };
    struct Running : msm::front::state<> { };
    struct Detached : msm::front::state<> { };
    struct Finished : msm::front::state<> { };
    using initial_state = Waiting;

    void send(const SlotGranted&) { host->send(); }
    void hedge(const HedgeDue&) { host->send(); }
    void begin_claim(const ClaimRequired&) { host->begin_claim(); }
    void keep_claim(const ClaimWon&) { }
    void begin_preparation(const PreparationRequired&) { host->begin_preparation(); }
    void keep_preparation(const PreparationMade&) { }
    void next_stage(const StageDone&) { host->next_stage(); }
    void complete(const StageDone&) { host->complete(); }
    void wait_for_others(const AttemptLost&) { }
    void retry(const AttemptLost&) { }
    void fail(const AttemptLost&) { host->abort(host->failure_kind()); }
    void abandon(const Abort& event) { host->abort(event.kind); }
    void detach(const Abort&) { host->reply_unknown(); }
    void settle_done(const StageDone&) { host->settle(true); }
    void settle_lost(const AttemptLost&) { host->settle(false); }
    void settle_aborted(const Abort&) { host->settle(false); }

    bool is_last(const StageDone&) { return host->at_last_stage(); }
    bool is_not_last(const StageDone&) { return !host->at_last_stage(); }
    bool has_others(const AttemptLost&) { return host->others_running(); }
    bool can_retry(const AttemptLost&)
    {
        return !host->others_running() && host->may_retry();
    }
    bool has_non_repeatable(const Abort&) { return host->non_repeatable_running(); }
    bool has_only_repeatable(const Abort&) { return !host->non_repeatable_running(); }

    using D = Definition;
    // Rows with the same source and event are tried from the last to the first.
    // The name of the table is required by MSM.
    // clang-format off
    // NOLINTNEXTLINE(readability-identifier-naming)
    struct transition_table : mpl::vector<
        a_row<Waiting,  SlotGranted,   Running,  &D::send>,
        a_row<Waiting,  ClaimRequired, Claiming, &D::begin_claim>,
        a_row<Waiting,  Abort,        Finished, &D::abandon>,
        a_row<Claiming, ClaimWon,      Waiting,  &D::keep_claim>,
        a_row<Claiming, Abort,        Finished, &D::abandon>,
        a_row<Waiting,  PreparationRequired, Preparing, &D::begin_preparation>,
        a_row<Preparing, PreparationMade,   Waiting,  &D::keep_preparation>,
        a_row<Preparing, Abort,       Finished, &D::abandon>,
        a_irow<Running, HedgeDue,                &D::hedge>,
          row<Running,  StageDone,     Finished, &D::complete,   &D::is_last>,
          row<Running,  StageDone,     Waiting,  &D::next_stage, &D::is_not_last>,
        a_row<Running,  AttemptLost,   Finished, &D::fail>,
          row<Running,  AttemptLost,   Waiting,  &D::retry,      &D::can_retry>,
         irow<Running,  AttemptLost,             &D::wait_for_others, &D::has_others>,
          row<Running,  Abort,        Finished, &D::abandon,    &D::has_only_repeatable>,
          row<Running,  Abort,        Detached, &D::detach,     &D::has_non_repeatable>,
        a_row<Detached, StageDone,     Finished, &D::settle_done>,
        a_row<Detached, AttemptLost,   Finished, &D::settle_lost>,
        a_row<Detached, Abort,        Finished, &D::settle_aborted>
    > { };
    // clang-format on

    /// Events that arrive too late for the current state are expected and ignored.
    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int) { }
};

using Backend = msm::back::state_machine<Definition>;

} // namespace

struct RequestMachine::Impl {
    explicit Impl(RequestHost& host)
        : backend(host)
    {
        backend.start();
    }
    Backend backend;
};

RequestMachine::RequestMachine(RequestHost& host)
    : m_impl(std::make_unique<Impl>(host))
{
}

RequestMachine::~RequestMachine() = default;

void
RequestMachine::claim_required()
{
    m_impl->backend.process_event(ClaimRequired {});
}

void
RequestMachine::claim_won()
{
    m_impl->backend.process_event(ClaimWon {});
}

void
RequestMachine::preparation_required()
{
    m_impl->backend.process_event(PreparationRequired {});
}

void
RequestMachine::preparation_made()
{
    m_impl->backend.process_event(PreparationMade {});
}

void
RequestMachine::slot_granted()
{
    m_impl->backend.process_event(SlotGranted {});
}

void
RequestMachine::hedge_due()
{
    m_impl->backend.process_event(HedgeDue {});
}

void
RequestMachine::stage_done()
{
    m_impl->backend.process_event(StageDone {});
}

void
RequestMachine::attempt_lost()
{
    m_impl->backend.process_event(AttemptLost {});
}

void
RequestMachine::abort(ErrorKind kind)
{
    m_impl->backend.process_event(Abort {kind});
}

RequestState
RequestMachine::state() const
{
    // MSM numbers the states by their first appearance in the table, so the ids are queried
    // instead of assumed.
    using Table = Backend::stt;
    namespace back = msm::back;
    const int id = m_impl->backend.current_state()[0];
    if (id == back::get_state_id<Table, Definition::Waiting>::value)
        return RequestState::Waiting;
    if (id == back::get_state_id<Table, Definition::Claiming>::value)
        return RequestState::Claiming;
    if (id == back::get_state_id<Table, Definition::Preparing>::value)
        return RequestState::Preparing;
    if (id == back::get_state_id<Table, Definition::Running>::value)
        return RequestState::Running;
    if (id == back::get_state_id<Table, Definition::Detached>::value)
        return RequestState::Detached;
    return RequestState::Finished;
}

} // namespace cypressford
