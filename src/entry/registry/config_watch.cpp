#include "entry/registry/config_watch.hpp"

#include "entry/registry/known_state.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// A change of the configuration is returned at once; the wait bounds how late a silent connection is found,
// which must be within the time in which the platform takes a disturbance for over.
milliseconds config_wait(const entry_settings& settings)
{
    constexpr milliseconds shortest{500};
    return std::max(shortest, settings.stability_window - milliseconds{1'000});
}

// What an open call may be late with a change.
constexpr milliseconds wait_slack{100};

} // namespace

void config_watch::start()
{
    if (this->context.config && this->context.position.config > 0) {
        this->follow_config();
    } else {
        this->read_config();
    }
}

void config_watch::pause()
{
    this->calls.pause();
    this->timer = {};
    this->context.config_watched_until = {0};
}

// What is known stays in force unless the store has a newer version.
void config_watch::begin_era()
{
    this->pause();
    this->timer = this->context.loop.run_after({0}, [this] { this->read_config(); });
}

void config_watch::read_config()
{
    const store_names names = this->context.dialect.names();
    const outgoing_call call = this->context.dialect.rows_call(names.configuration_table, "");
    this->ask_config(call, store_reason::config);
}

// One short call before the next long one, which would take a dead store for one without changes.
void config_watch::check_config()
{
    const store_names names = this->context.dialect.names();
    const outgoing_call call =
        this->context.dialect.changes_call(names.configuration_table, this->context.position.config, {0});
    this->ask_config(call, store_reason::config_changes);
}

void config_watch::ask_config(const outgoing_call& call, store_reason reason)
{
    const time_point began = event_loop::now();
    this->calls.call(call, store_call_slack, reason, [this, began](const store_answer& answer) {
        if (answer.result != store_result::ok) {
            this->config_failed(answer);
            return;
        }
        this->calls.note_answer();
        this->context.config_as_of = began;
        this->take_config_rows(answer.rows);
        this->follow_config();
    });
}

void config_watch::config_failed(const store_answer& answer)
{
    if (answer.result == store_result::history_is_gone) {
        this->context.position.config = 0;
    }
    const bool read_all = !this->context.config || this->context.position.config == 0;
    const bool at_once = answer.result == store_result::history_is_gone;
    const milliseconds pause = at_once ? milliseconds{0} : this->calls.retry_pause(answer);
    this->timer = this->context.loop.run_after(pause, [this, read_all] {
        if (read_all) {
            this->read_config();
        } else {
            this->check_config();
        }
    });
}

void config_watch::follow_config()
{
    const milliseconds wait = this->calls.wait_for_news(config_wait(this->context.settings));
    if (wait == milliseconds{0}) {
        this->check_config();
        return;
    }
    const store_names names = this->context.dialect.names();
    const outgoing_call call =
        this->context.dialect.changes_call(names.configuration_table, this->context.position.config, wait);
    this->context.config_watched_until = event_loop::now() + wait + wait_slack;
    this->calls.call(
        call, wait + store_call_slack, store_reason::config_changes, [this](const store_answer& answer) {
            this->context.config_watched_until = {0};
            if (answer.result == store_result::ok) {
                this->calls.note_answer();
                this->context.config_as_of = event_loop::now();
                this->take_config_rows(answer.rows);
                this->timer = this->context.loop.run_after({0}, [this] { this->follow_config(); });
                return;
            }
            this->config_failed(answer);
        });
}

void config_watch::take_config_rows(const stored_rows& rows)
{
    const store_names names = this->context.dialect.names();
    for (const stored_row& row : rows.rows) {
        if (row.key != names.configuration_key || row.is_removed) {
            continue;
        }
        if (put_config(this->context, row.value, "store") && this->on_config) {
            this->on_config();
        }
        if (this->on_known) {
            this->on_known();
        }
    }
    this->context.position.config = std::max(this->context.position.config, rows.version);
}

} // namespace dandelionstep
