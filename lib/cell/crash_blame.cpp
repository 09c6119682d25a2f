/// \file
/// Weighs the runs on a crashed worker.
#include "crash_blame.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Uncertainty of the time of a crash, added to each age.
constexpr double noticing_s = 0.05;
/// Weight of other causes. A run weighs the reciprocal of its age in s.
constexpr double other_cause_weight = 0.5;
/// Shares of the total weight from which a run is taken for the cause or suspected.
constexpr double cause_share = 0.8;
constexpr double suspect_share = 0.1;

/// Blame of a task for a crash by its role, and the sum at which it is given up.
constexpr std::uint32_t cause_blame = 8;
constexpr std::uint32_t suspect_blame = 4;
constexpr std::uint32_t blame_to_give_up = 12;
/// The same for a task whose runs had different ages at the crashes. A task that crashes
/// its workers mostly does so at the same age.
constexpr std::uint32_t blame_to_give_up_at_any_age = 20;
/// From this many crashes on, their ages are not compared.
constexpr std::uint32_t crashes_to_ignore_ages = 4;
/// Ages differ if they do so by more than this, and by more than a quarter.
constexpr duration age_tolerance = std::chrono::milliseconds(120);
/// A task on whose workers others crash again and again is not given up for it.
constexpr std::uint32_t max_bystander_blame = 3;
/// Even a certain cause is given up only after this many crashes.
constexpr std::uint32_t min_crashes_to_give_up = 2;
/// From this many crashes on, a task is suspect whatever its blame.
constexpr std::uint32_t crashes_to_suspect = 2;
/// Limits for the proving time and for the time in which a worker takes no other starts.
/// They do not grow with the age of a lasting task.
constexpr duration max_proving_time = std::chrono::minutes(5);
constexpr duration max_observation_time = std::chrono::seconds(10);

/// Longest time from a crash to its report to the owner.
constexpr duration report_time = std::chrono::milliseconds(150);

/// Assumed for runs of a former owner.
constexpr duration unknown_age = std::chrono::milliseconds(1000);

bool are_about_equal(duration a, duration b)
{
    const duration difference = std::max(a - b, b - a);
    return difference <= std::max(age_tolerance, std::max(a, b) / 4);
}

} // namespace

std::vector<run_end> assign_blame(const std::vector<crashed_run>& runs,
                                  std::size_t other_crashes)
{
    std::vector<double> weights;
    double total = other_cause_weight * static_cast<double>(1 + other_crashes);
    for (const crashed_run& run : runs)
    {
        const double age_s =
            std::chrono::duration<double>(std::max(run.age, duration::zero())).count();
        weights.push_back((1 + run.earlier_suspicion) / (age_s + noticing_s));
        total += weights.back();
    }
    std::vector<run_end> roles;
    for (const double weight : weights)
        roles.push_back(weight >= cause_share * total     ? run_end::crashed
                        : weight >= suspect_share * total ? run_end::crash_suspect
                                                          : run_end::crash_bystander);
    return roles;
}

void crash_record::add(run_end role, std::optional<duration> age)
{
    if (age)
        add_survival(*age);
    ++crashes_;
    longest_age_ = std::max(longest_age_, age.value_or(unknown_age));
    if (role == run_end::crash_bystander)
    {
        ++bystander_crashes_;
        return;
    }
    blame_ += role == run_end::crashed ? cause_blame : suspect_blame;
    equal_ages_ = age && blamed_age_ && are_about_equal(*age, *blamed_age_);
    blamed_age_ = age;
}

bool crash_record::add_survival(duration age)
{
    if (crashes_ == 0 || age <= proving_time())
        return false;
    *this = crash_record();
    return true;
}

bool crash_record::is_conclusive() const
{
    const std::uint32_t needed = equal_ages_ || crashes_ >= crashes_to_ignore_ages
                                     ? blame_to_give_up
                                     : blame_to_give_up_at_any_age;
    return crashes_ >= min_crashes_to_give_up &&
           blame_ + std::min(bystander_crashes_, max_bystander_blame) >= needed;
}

double crash_record::suspicion() const
{
    return static_cast<double>(blame_) / suspect_blame;
}

bool crash_record::is_suspect() const
{
    return blame_ > 0 || crashes_ >= crashes_to_suspect;
}

duration crash_record::proving_time() const
{
    return std::min(longest_age_ + longest_age_ / 2 + report_time, max_proving_time);
}

duration crash_record::observation_time() const
{
    return std::min(proving_time(), max_observation_time);
}

} // namespace hawthornbeam::cell
