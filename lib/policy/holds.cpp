/// \file
/// Planning, start and expiry of holds.
#include "holds.hpp"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <cassert>

namespace hawthornbeam::policy
{

namespace
{

/// Limits concurrent reservations without preemption, because each keeps capacity idle.
constexpr std::size_t max_reservations = 4;
/// Rate and burst limits of preemption planning. One plan takes about 40 us.
constexpr double preemption_plans_per_second = 4000;
constexpr double max_preemption_plan_burst = 32;
/// Minimum time before a row plans preemption again after a plan found no victims.
constexpr duration no_victims_retry_delay = std::chrono::milliseconds(50);
/// Covers the throttle, checkpoint and stop stages of the victims.
constexpr duration min_preempting_hold_time = std::chrono::seconds(8);
/// Bounds the growth of the time limit of a hold.
constexpr unsigned max_doublings = 9;
/// Remaining time that is assumed for a running task without a declared run time.
constexpr duration assumed_remaining_time = std::chrono::hours(24);
/// A reservation examines a random sample of at least this many workers, or all workers
/// if there are fewer.
constexpr std::size_t min_sampled_workers = 128;
/// Tasks of one worker that a reservation examines, the longest running first.
constexpr std::size_t max_tasks_per_worker = 64;
/// Minimum time between two reservation plans.
constexpr duration reservation_interval = std::chrono::milliseconds(50);
constexpr std::size_t sampled_workers_per_member = 4;
constexpr std::size_t max_sampled_workers = 4096;

} // namespace

duration hold_manager::time_limit(const task_record& leader) const
{
    return state_.settings.gang_hold_limit *
           (1LL << std::min<unsigned>(leader.hold_attempts, max_doublings));
}

bool hold_manager::try_create_hold(index leader, boot_time now)
{
    task_record& task = state_.tasks[leader];
    if (task.hold != none)
        return true;
    if (now < task.due)
        return false;
    const std::vector<index> unit = state_.members(leader);
    resources member_size;
    for (const index member : unit)
        member_size =
            component_max(member_size, state_.reserved_size(state_.tasks[member]));
    const std::vector<slot_plan> victims =
        plan_preemption(leader, member_size, unit.size(), now);
    if (!victims.empty())
    {
        create(leader, member_size, victims, true, now);
        preemptor_.start_preemption(victims, task.hold);
        return true;
    }
    // A gang reserves capacity immediately. A single task does so only after it has been
    // blocked for the hold limit.
    if (unit.size() == 1 && now - task.blocked_since < state_.settings.gang_hold_limit)
        return false;
    if (state_.backfill_holds.size() >= max_reservations || now < state_.reservation_due)
        return false;
    state_.reservation_due = now + reservation_interval;
    const std::vector<slot_plan> slots = plan_reservation(member_size, unit.size(), now);
    if (slots.empty())
        return false;
    create(leader, member_size, slots, false, now);
    return true;
}

std::vector<slot_plan> hold_manager::plan_preemption(index leader,
                                                     const resources& member_size,
                                                     std::size_t members, boot_time now)
{
    row_record& row = state_.rows[state_.tasks[leader].row];
    if (now < row.no_victims_until)
        return {};
    if (now > state_.plan_tokens_at)
    {
        const std::chrono::duration<double> elapsed = now - state_.plan_tokens_at;
        state_.plan_tokens_at = now;
        state_.plan_tokens =
            std::min(max_preemption_plan_burst,
                     state_.plan_tokens + preemption_plans_per_second * elapsed.count());
    }
    if (state_.plan_tokens < 1)
        return {};
    state_.plan_tokens -= 1;
    const std::vector<slot_plan> slots =
        preemptor_.select_victims(leader, member_size, members, now);
    if (slots.empty())
        row.no_victims_until = now + no_victims_retry_delay;
    return slots;
}

std::vector<slot_plan> hold_manager::plan_reservation(const resources& member_size,
                                                      std::size_t members, boot_time now)
{
    std::vector<slot_plan> plans;
    const std::size_t count = state_.workers.end();
    const std::size_t samples =
        std::min(max_sampled_workers,
                 std::max(min_sampled_workers, sampled_workers_per_member * members));
    const bool examine_all = count <= samples;
    absl::flat_hash_set<index> visited;
    for (std::size_t i = 0; i < std::min(count, samples); ++i)
    {
        const index worker =
            static_cast<index>(examine_all ? i : state_.random.below(count));
        if (visited.insert(worker).second)
            plan_worker(worker, member_size, members, now, plans);
    }
    if (plans.size() < members)
        return {};
    std::stable_sort(plans.begin(), plans.end(),
                     [](const slot_plan& a, const slot_plan& b)
                     { return a.ready < b.ready; });
    plans.resize(members);
    return plans;
}

void hold_manager::plan_worker(index position, const resources& member_size,
                               std::size_t max_slots, boot_time now,
                               std::vector<slot_plan>& plans) const
{
    const worker_record& worker = state_.workers[position];
    if (!state_.usable(worker) || !worker.holds.empty() ||
        !member_size.fits_in(worker.info.capacity))
        return;
    std::vector<std::pair<boot_time, index>> ends;
    for (index task = worker.running.head;
         task != none && ends.size() < max_tasks_per_worker;
         task = state_.tasks[task].worker_next)
    {
        const task_record& record = state_.tasks[task];
        const boot_time end = record.run_time > duration(0)
                                  ? record.started + record.run_time
                                  : now + assumed_remaining_time;
        ends.emplace_back(std::max(now, end), task);
    }
    std::sort(ends.begin(), ends.end());
    resources available = state_.free(worker);
    slot_plan plan;
    plan.worker = position;
    plan.ready = now;
    std::size_t next = 0;
    for (std::size_t slots = 0; slots < max_slots;)
    {
        if (member_size.fits_in(available))
        {
            plans.push_back(plan);
            available -= member_size;
            ++slots;
            continue;
        }
        if (next == ends.size())
            return;
        available += state_.tasks[ends[next].second].reserved;
        plan.ready = ends[next].first;
        ++next;
    }
}

void hold_manager::create(index leader, const resources& member_size,
                          const std::vector<slot_plan>& slots, bool preempts,
                          boot_time now)
{
    const std::vector<index> unit = state_.members(leader);
    assert(unit.size() == slots.size() && "each member needs a slot");
    const index position = state_.holds.add();
    hold_record& hold = state_.holds[position];
    hold.leader = leader;
    hold.serial = state_.next_hold_serial++;
    hold.member_size = member_size;
    hold.preempts = preempts;
    const duration limit = time_limit(state_.tasks[leader]);
    hold.expires = now + (preempts ? std::max(limit, min_preempting_hold_time) : limit);
    hold.bound = now;
    state_.tasks[leader].hold = position;
    for (std::size_t i = 0; i < slots.size(); ++i)
    {
        hold.slots.push_back({unit[i], slots[i].worker});
        hold.bound = std::max(hold.bound, slots[i].ready);
        worker_record& worker = state_.workers[slots[i].worker];
        worker.held += member_size;
        if (std::find(worker.holds.begin(), worker.holds.end(), position) ==
            worker.holds.end())
            worker.holds.push_back(position);
        state_.refresh(slots[i].worker);
    }
    hold.bound = std::min(hold.bound, hold.expires);
    state_.timers.insert({hold.expires, timer_kind::hold_expiry, position});
    if (preempts)
    {
        state_.rows[state_.tasks[leader].row].claimed +=
            times(member_size, static_cast<std::int64_t>(slots.size()));
        return;
    }
    state_.backfill_holds.push_back(position);
    state_.timers.insert({hold.bound, timer_kind::backfill_bound, position});
}

bool hold_manager::release_weaker_reservation(index leader, boot_time now)
{
    const row_record& row = state_.rows[state_.tasks[leader].row];
    const bool below_guarantee = state_.under_guarantee(row);
    for (const index position : state_.backfill_holds)
    {
        const hold_record& hold = state_.holds[position];
        const row_record& owner = state_.rows[state_.tasks[hold.leader].row];
        const bool weaker = row.settings.priority < owner.settings.priority ||
                            (below_guarantee && !state_.under_guarantee(owner));
        if (&owner == &row || !weaker ||
            (state_.under_guarantee(owner) && !below_guarantee))
            continue;
        expire(position, now);
        return true;
    }
    return false;
}

void hold_manager::expire(index position, boot_time now)
{
    const index leader = state_.holds[position].leader;
    task_record& task = state_.tasks[leader];
    if (task.hold_attempts < max_doublings)
        ++task.hold_attempts;
    state_.release_hold(leader);
    task.due = now + state_.random.jitter(state_.settings.gang_hold_limit, 0.5);
}

void hold_manager::preempt_backfills(index position, boot_time now)
{
    const std::vector<std::pair<index, task_id>> backfills =
        std::move(state_.holds[position].backfills);
    state_.holds[position].backfills.clear();
    for (const auto& [task, id] : backfills)
    {
        const task_record& record = state_.tasks[task];
        if (record.phase == task_phase::running && record.id == id)
            preemptor_.preempt_task(task, position, now);
    }
}

bool hold_manager::try_start(index position, boot_time now, std::vector<placement>& out)
{
    hold_record& hold = state_.holds[position];
    const index leader = hold.leader;
    row_record& row = state_.rows[state_.tasks[leader].row];
    const std::uint32_t count = static_cast<std::uint32_t>(hold.slots.size());
    if (!state_.limits_admit(row, hold.member_size, count, now))
        return false;
    std::vector<assignment> chosen;
    for (const hold_slot& slot : hold.slots)
    {
        const worker_record& worker = state_.workers[slot.worker];
        if (!state_.usable(worker) || !hold.member_size.fits_in(state_.free(worker)))
            break;
        // The learned size may have changed since the hold was planned.
        state_.tasks[slot.task].reserved = hold.member_size;
        state_.charge(slot.worker, hold.member_size);
        chosen.push_back({slot.task, slot.worker, false, none});
    }
    if (chosen.size() < hold.slots.size())
    {
        for (const assignment& entry : chosen)
            state_.discharge(entry.worker, hold.member_size);
        return false;
    }
    for (const assignment& entry : chosen)
        out.push_back({state_.tasks[entry.task].id, state_.workers[entry.worker].info.id,
                       hold.member_size});
    state_.start_unit(leader, chosen, now);
    return true;
}

void hold_manager::start_ready_units(boot_time now, std::size_t max_placements,
                                     std::vector<placement>& out)
{
    std::vector<index> changed_holds;
    changed_holds.swap(state_.changed_holds);
    for (std::size_t i = 0; i < changed_holds.size(); ++i)
    {
        const index position = changed_holds[i];
        hold_record& hold = state_.holds[position];
        if (hold.leader == none || !hold.retry_pending)
            continue;
        if (out.size() + hold.slots.size() > max_placements && !out.empty())
        {
            state_.changed_holds.push_back(position);
            continue;
        }
        // The hold keeps `retry_pending` set during the attempt, so that the capacity
        // changes which the attempt itself makes do not list it again.
        const bool lost_worker =
            std::any_of(hold.slots.begin(), hold.slots.end(),
                        [&](const hold_slot& slot)
                        { return !state_.usable(state_.workers[slot.worker]); });
        if (lost_worker)
            expire(position, now);
        else if (!try_start(position, now, out))
            hold.retry_pending = false;
    }
}

} // namespace hawthornbeam::policy
