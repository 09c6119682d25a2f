/// \file
/// Implements holds.
#include "holds.hpp"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <cassert>

namespace hawthornbeam::policy
{

namespace
{

/// Reservations without preemption that exist at once; each keeps capacity idle.
constexpr std::size_t most_reservations = 4;
/// Plans of preemption a second, at about 40 us each, and at once after a pause.
constexpr double plans_per_second = 4000;
constexpr double most_plans_at_once = 32;
/// Pause of a row's planning after one without result.
constexpr duration no_victims_pause = std::chrono::milliseconds(50);
/// Enough for throttle, checkpoint and stop.
constexpr duration least_preempting_hold = std::chrono::seconds(8);
constexpr unsigned most_doublings = 9;
/// A running task without a declared run time counts as this far from its end.
constexpr duration unknown_run_time = std::chrono::hours(24);
/// All workers are looked at up to this number, above it a sample.
constexpr std::size_t small_cluster = 128;
/// Tasks of one worker that a reservation looks at, the longest running first.
constexpr std::size_t most_tasks = 64;
/// Pause between plans of reservations.
constexpr duration reservation_pause = std::chrono::milliseconds(50);
constexpr std::size_t samples_per_member = 4;
constexpr std::size_t most_samples = 4096;

} // namespace

duration hold_keeper::time_limit(const task_record& leader) const
{
    return all_.settings.gang_hold_limit *
           (1LL << std::min<unsigned>(leader.hold_attempts, most_doublings));
}

bool hold_keeper::make_hold(index leader, boot_time now)
{
    task_record& task = all_.tasks[leader];
    if (task.hold != none)
        return true;
    if (now < task.due)
        return false;
    const std::vector<index> unit = all_.members(leader);
    resources member_size;
    for (const index member : unit)
        member_size = component_max(member_size, all_.reserved_size(all_.tasks[member]));
    const std::vector<slot_plan> victims =
        plan_preemption(leader, member_size, unit.size(), now);
    if (!victims.empty())
    {
        create(leader, member_size, victims, true, now);
        victims_.assign(victims, task.hold);
        return true;
    }
    // A gang reserves at once; a single task only after it was passed over for a while.
    if (unit.size() == 1 && now - task.blocked_since < all_.settings.gang_hold_limit)
        return false;
    if (all_.backfill_holds.size() >= most_reservations || now < all_.reservation_due)
        return false;
    all_.reservation_due = now + reservation_pause;
    const std::vector<slot_plan> slots = plan_reservation(member_size, unit.size(), now);
    if (slots.empty())
        return false;
    create(leader, member_size, slots, false, now);
    return true;
}

std::vector<slot_plan> hold_keeper::plan_preemption(index leader,
                                                    const resources& member_size,
                                                    std::size_t members, boot_time now)
{
    row_record& row = all_.rows[all_.tasks[leader].row];
    if (now < row.no_victims_until)
        return {};
    if (now > all_.plan_tokens_at)
    {
        const std::chrono::duration<double> elapsed = now - all_.plan_tokens_at;
        all_.plan_tokens_at = now;
        all_.plan_tokens = std::min(
            most_plans_at_once, all_.plan_tokens + plans_per_second * elapsed.count());
    }
    if (all_.plan_tokens < 1)
        return {};
    all_.plan_tokens -= 1;
    const std::vector<slot_plan> slots =
        victims_.make_room(leader, member_size, members, now);
    if (slots.empty())
        row.no_victims_until = now + no_victims_pause;
    return slots;
}

std::vector<slot_plan> hold_keeper::plan_reservation(const resources& member_size,
                                                     std::size_t members, boot_time now)
{
    std::vector<slot_plan> plans;
    const std::size_t count = all_.workers.end();
    const std::size_t samples =
        std::min(most_samples, std::max(small_cluster, samples_per_member * members));
    const bool everyone = count <= samples;
    absl::flat_hash_set<index> seen;
    for (std::size_t i = 0; i < std::min(count, samples); ++i)
    {
        const index worker = static_cast<index>(everyone ? i : all_.random.below(count));
        if (seen.insert(worker).second)
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

void hold_keeper::plan_worker(index position, const resources& member_size,
                              std::size_t most, boot_time now,
                              std::vector<slot_plan>& plans) const
{
    const worker_record& worker = all_.workers[position];
    if (!all_.usable(worker) || !worker.holds.empty() ||
        !member_size.fits_in(worker.info.capacity))
        return;
    std::vector<std::pair<boot_time, index>> ends;
    for (index task = worker.running.head; task != none && ends.size() < most_tasks;
         task = all_.tasks[task].worker_next)
    {
        const task_record& record = all_.tasks[task];
        const boot_time end = record.run_time > duration(0)
                                  ? record.started + record.run_time
                                  : now + unknown_run_time;
        ends.emplace_back(std::max(now, end), task);
    }
    std::sort(ends.begin(), ends.end());
    resources room = all_.free(worker);
    slot_plan plan;
    plan.worker = position;
    plan.ready = now;
    std::size_t next = 0;
    for (std::size_t slots = 0; slots < most;)
    {
        if (member_size.fits_in(room))
        {
            plans.push_back(plan);
            room -= member_size;
            ++slots;
            continue;
        }
        if (next == ends.size())
            return;
        room += all_.tasks[ends[next].second].reserved;
        plan.ready = ends[next].first;
        ++next;
    }
}

void hold_keeper::create(index leader, const resources& member_size,
                         const std::vector<slot_plan>& slots, bool preempts,
                         boot_time now)
{
    const std::vector<index> unit = all_.members(leader);
    assert(unit.size() == slots.size() && "each member needs a slot");
    const index position = all_.holds.add();
    hold_record& hold = all_.holds[position];
    hold.leader = leader;
    hold.serial = all_.next_hold_serial++;
    hold.member_size = member_size;
    hold.preempts = preempts;
    const duration limit = time_limit(all_.tasks[leader]);
    hold.expires = now + (preempts ? std::max(limit, least_preempting_hold) : limit);
    hold.bound = now;
    all_.tasks[leader].hold = position;
    for (std::size_t i = 0; i < slots.size(); ++i)
    {
        hold.slots.push_back({unit[i], slots[i].worker});
        hold.bound = std::max(hold.bound, slots[i].ready);
        worker_record& worker = all_.workers[slots[i].worker];
        worker.held += member_size;
        if (std::find(worker.holds.begin(), worker.holds.end(), position) ==
            worker.holds.end())
            worker.holds.push_back(position);
        all_.refresh(slots[i].worker);
    }
    hold.bound = std::min(hold.bound, hold.expires);
    all_.timers.insert({hold.expires, timer_kind::hold_expiry, position});
    if (preempts)
    {
        all_.rows[all_.tasks[leader].row].claimed +=
            times(member_size, static_cast<std::int64_t>(slots.size()));
        return;
    }
    all_.backfill_holds.push_back(position);
    all_.timers.insert({hold.bound, timer_kind::backfill_bound, position});
}

bool hold_keeper::break_weaker(index leader, boot_time now)
{
    const row_record& row = all_.rows[all_.tasks[leader].row];
    const bool under = all_.under_guarantee(row);
    for (const index position : all_.backfill_holds)
    {
        const hold_record& hold = all_.holds[position];
        const row_record& owner = all_.rows[all_.tasks[hold.leader].row];
        const bool weaker = row.settings.priority < owner.settings.priority ||
                            (under && !all_.under_guarantee(owner));
        if (&owner == &row || !weaker || (all_.under_guarantee(owner) && !under))
            continue;
        expire(position, now);
        return true;
    }
    return false;
}

void hold_keeper::expire(index position, boot_time now)
{
    const index leader = all_.holds[position].leader;
    task_record& task = all_.tasks[leader];
    if (task.hold_attempts < most_doublings)
        ++task.hold_attempts;
    all_.release_hold(leader);
    task.due = now + all_.random.jitter(all_.settings.gang_hold_limit, 0.5);
}

void hold_keeper::evict_backfills(index position, boot_time now)
{
    const std::vector<std::pair<index, task_id>> backfills =
        std::move(all_.holds[position].backfills);
    all_.holds[position].backfills.clear();
    for (const auto& [task, id] : backfills)
    {
        const task_record& record = all_.tasks[task];
        if (record.phase == task_phase::running && record.id == id)
            victims_.evict(task, position, now);
    }
}

bool hold_keeper::try_start(index position, boot_time now, std::vector<placement>& out)
{
    hold_record& hold = all_.holds[position];
    const index leader = hold.leader;
    row_record& row = all_.rows[all_.tasks[leader].row];
    const std::uint32_t count = static_cast<std::uint32_t>(hold.slots.size());
    if (!all_.limits_admit(row, hold.member_size, count, now))
        return false;
    std::vector<assignment> chosen;
    for (const hold_slot& slot : hold.slots)
    {
        const worker_record& worker = all_.workers[slot.worker];
        if (!all_.usable(worker) || !hold.member_size.fits_in(all_.free(worker)))
            break;
        // The size may have been learned anew since the hold was planned.
        all_.tasks[slot.task].reserved = hold.member_size;
        all_.charge(slot.worker, hold.member_size);
        chosen.push_back({slot.task, slot.worker, false, none});
    }
    if (chosen.size() < hold.slots.size())
    {
        for (const assignment& entry : chosen)
            all_.discharge(entry.worker, hold.member_size);
        return false;
    }
    for (const assignment& entry : chosen)
        out.push_back({all_.tasks[entry.task].id, all_.workers[entry.worker].info.id,
                       hold.member_size});
    all_.start_unit(leader, chosen, now);
    return true;
}

void hold_keeper::start_ready(boot_time now, std::size_t most,
                              std::vector<placement>& out)
{
    std::vector<index> changed;
    changed.swap(all_.changed_holds);
    for (std::size_t i = 0; i < changed.size(); ++i)
    {
        const index position = changed[i];
        hold_record& hold = all_.holds[position];
        if (hold.leader == none || !hold.retry_pending)
            continue;
        if (out.size() + hold.slots.size() > most && !out.empty())
        {
            all_.changed_holds.push_back(position);
            continue;
        }
        // Still listed while it is tried, so that its own charges do not list it again.
        const bool lost_worker =
            std::any_of(hold.slots.begin(), hold.slots.end(),
                        [&](const hold_slot& slot)
                        { return !all_.usable(all_.workers[slot.worker]); });
        if (lost_worker)
            expire(position, now);
        else if (!try_start(position, now, out))
            hold.retry_pending = false;
    }
}

} // namespace hawthornbeam::policy
