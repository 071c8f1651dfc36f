#include "settings.h"

#include <string.h>

#define AT(field) offsetof(gateway_settings_t, field)
/* Polls within the time in which a change must become known, so that hosts of later ranks still poll in time when the
   first ones fail. */
#define POLLS_PER_BOUND 5
#define MEMORY_PER_SERVER_BYTES 4096 /* of a known server: its entry in the lists and the state of load balancing */
#define SERVERS_MEMORY_DIVISOR 4
/* The last rank polls after this share of the time in which a change must become known. The remaining time is for the
   poll and for applying its result. */
#define LAST_RANK_SHARE 0.6

static const cw_setting_info_t table[] = {
    {"host", "name", CW_SETTING_NAME, AT(name), NULL, 0, 0, "name of this host, unique in the cluster", false},
    {"host", "hall", CW_SETTING_NAME, AT(hall), NULL, 0, 0, "hall that this host is in", false},
    {"host", "cluster", CW_SETTING_NAME, AT(cluster), "chalkway", 0, 0, "peers of other clusters are refused", false},
    {"host", "first_start", CW_SETTING_INTEGER, AT(first_start), "0", 0, 1,
     "1: the whole system starts for the first time, and there is no traffic yet", false},
    {"listen", "callers", CW_SETTING_ADDRESS, AT(callers), NULL, 0, 0, "address for requests", false},
    {"listen", "ready", CW_SETTING_ADDRESS, AT(ready), NULL, 0, 0, "address of the readiness check", false},
    {"listen", "lookup", CW_SETTING_ADDRESS, AT(lookup), NULL, 0, 0,
     "address at which callers look up the hosts to use", false},
    {"listen", "metrics", CW_SETTING_TEXT, AT(metrics), "", 0, 0, "address of the metrics, none when empty", false},
    {"listen", "peer", CW_SETTING_ADDRESS, AT(peer), NULL, 0, 0,
     "address for membership (UDP) and tunnels (TCP); all hosts use the same ports", false},
    {"listen", "load", CW_SETTING_ADDRESS, AT(load), NULL, 0, 0, "address for load reports between hosts, UDP", false},
    {"listen", "share", CW_SETTING_ADDRESS, AT(share), NULL, 0, 0, "address at which peers read the configuration",
     false},
    {"peers", "seeds", CW_SETTING_TEXT, AT(seeds), "", 0, 0, "addresses to join, separated by commas", true},
    {"peers", "seed_port", CW_SETTING_INTEGER, AT(seed_port), "0", 0, 65535,
     "port of the seeds' peer address where the seeds name another, 0: as named", true},
    {"source", "address", CW_SETTING_ADDRESS, AT(source), NULL, 0, 0, "where the configuration is published", false},
    {"source", "apply", CW_SETTING_MS, AT(apply_ms), "2s", 250, 600000,
     "time from the publication of a configuration until every host must have applied it", false},
    {"source", "drain", CW_SETTING_MS, AT(drain_ms), "2s", 250, 600000,
     "time from the publication of a server as leaving until it must get no new requests", false},
    {"source", "close", CW_SETTING_MS, AT(close_ms), "0ms", 0, 600000,
     "time from the publication of a hall as closed until its servers must get no new requests, 0: halls are not "
     "closed",
     false},
    {"source", "read", CW_SETTING_MS, AT(poll_age_ms), "0ms", 0, 60000,
     "age of configuration and servers at which the host of the first rank polls them, 0: a fifth of the shorter of "
     "apply and drain",
     false},
    {"limits", "memory", CW_SETTING_BYTES, AT(memory_bytes), "256m", 1 << 24, 4294967295.0,
     "memory that the process may use", false},
    {"limits", "descriptors", CW_SETTING_INTEGER, AT(descriptors), "4096", 64, 1000000,
     "file descriptors of the process", false},
    {"limits", "link", CW_SETTING_NUMBER, AT(link_mbps), "0", 0, 1000000,
     "Mbit/s of this host's network, 0: not known; in large fleets the hosts with the fastest links relay load "
     "reports",
     false},
    {"limits", "servers", CW_SETTING_INTEGER, AT(servers), "0", 0, 10000000,
     "most servers of all pools together, 0: as many as fit a quarter of the memory", false},
    {"limits", "suspects", CW_SETTING_INTEGER, AT(suspects), "4096", 64, 1000000,
     "most requests remembered because servers crashed while running them, at most a quarter of them of one workspace",
     false},
    {"service", "lookup_keep", CW_SETTING_MS, AT(lookup_keep_ms), "1s", 100, 600000,
     "how long callers may keep a lookup response", true},
    {"service", "grace", CW_SETTING_MS, AT(grace_ms), "8s", 500, 600000, "from the stop signal to the forced exit",
     true},
    {"service", "retry_window", CW_SETTING_MS, AT(retry_window_ms), "10s", 100, 600000,
     "time window of the retry budget", false},
    {"service", "retry_ratio", CW_SETTING_NUMBER, AT(retry_ratio), "0.1", 0, 1, "retries for each first attempt", true},
    {"service", "retry_slack", CW_SETTING_NUMBER, AT(retry_slack), "10", 0, 1000000,
     "retries beyond that in a window, all hosts together", true},
    {"service", "hold", CW_SETTING_MS, AT(hold_ms), "30m", 1000, 86400000,
     "how long a server crash counts against the request that ran there; with three such servers the request is "
     "quarantined",
     false},
    {"service", "rest_max", CW_SETTING_MS, AT(backoff_max_ms), "30m", 1000, 86400000,
     "longest backoff that a server can request from this host (503 or 429 with Retry-After)", true},
    {"gateway", "forecast", CW_SETTING_NAME, AT(forecast), "auto", 0, 0,
     "how the time to a first event is predicted: own (from this host's requests alone), shared (with what all hosts "
     "report), auto (shared in fleets of more than 24 hosts while the engines are uneven)",
     false},
    {"log", "level", CW_SETTING_NAME, AT(log_level), "info", 0, 0, "debug, info, warn or error", true},
    {"log", "format", CW_SETTING_NAME, AT(log_format), "text", 0, 0, "text or json", true},
};

const cw_setting_info_t* gateway_settings_info(uint32_t* count) {
    *count = sizeof(table) / sizeof(table[0]);
    return table;
}

/* Time in which every change at the source must become known here. */
static uint32_t shortest_bound_ms(const gateway_settings_t* s) {
    return s->apply_ms < s->drain_ms ? s->apply_ms : s->drain_ms;
}

/* Age at which the first rank polls the source, if the file doesn't set it. */
static uint32_t default_poll_age_ms(const gateway_settings_t* s) {
    return shortest_bound_ms(s) / POLLS_PER_BOUND;
}

uint32_t gateway_settings_last_rank_age_ms(const gateway_settings_t* s) {
    return (uint32_t)(shortest_bound_ms(s) * LAST_RANK_SHARE);
}

/* Number of servers that fit a quarter of the memory, if the file doesn't set it. */
static uint32_t default_max_servers(const gateway_settings_t* s) {
    return (uint32_t)(s->memory_bytes / SERVERS_MEMORY_DIVISOR / MEMORY_PER_SERVER_BYTES);
}

cw_forecast_mode_t gateway_settings_forecast(const gateway_settings_t* s) {
    if (!strcmp(s->forecast, "shared")) {
        return CW_FORECAST_SHARED;
    }
    return strcmp(s->forecast, "own") ? CW_FORECAST_AUTO : CW_FORECAST_OWN;
}

cw_status_t gateway_settings_load(const char* path, gateway_settings_t* settings, cw_settings_errors_t* errors) {
    memset(settings, 0, sizeof(*settings));
    cw_settings_read(path, table, sizeof(table) / sizeof(table[0]), settings, errors);
    if (settings->log_level[0]) {
        cw_settings_check_choice(path, "log", "level", settings->log_level, " debug info warn error ", errors);
        cw_settings_check_choice(path, "log", "format", settings->log_format, " text json ", errors);
        cw_settings_check_seeds(path, "peers", "seeds", settings->seeds, errors);
        cw_settings_check_choice(path, "gateway", "forecast", settings->forecast, " auto shared own ", errors);
    }
    settings->servers = settings->servers ? settings->servers : default_max_servers(settings);
    settings->poll_age_ms = settings->poll_age_ms ? settings->poll_age_ms : default_poll_age_ms(settings);
    return errors->count ? CW_ERR_INVALID : CW_OK;
}
