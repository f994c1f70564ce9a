#include <oleandergrade/process/stop_schedule.hpp>

namespace oleandergrade
{

namespace
{

time_point after_fraction(time_point started_at, milliseconds total,
                          double fraction)
{
    return started_at + milliseconds(static_cast<std::int64_t>(
                            static_cast<double>(total.count()) * fraction));
}

} // namespace

stop_schedule::stop_schedule(time_point started_at, milliseconds stop_timeout)
    : transactions_end_at_(
          after_fraction(started_at, stop_timeout, transactions_fraction)),
      statements_end_at_(
          after_fraction(started_at, stop_timeout, statements_fraction)),
      answers_due_at_(
          after_fraction(started_at, stop_timeout, answers_fraction)),
      process_ends_at_(
          after_fraction(started_at, stop_timeout, process_fraction))
{
}

} // namespace oleandergrade
