#include "settings.h"

#include <string.h>

#define AT(field) offsetof(gateway_settings_t, field)
/* Readings that fit into the time in which a change is to be known: ranks beyond the first take over. */
#define READ_PARTS 5
#define SERVER_BYTES 4096 /* of a known server, its entries in lists and in the choice among them */
#define SERVERS_MEMORY_PARTS 4
#define LATE_SHARE 0.6 /* of that time, until the last rank reads: the rest is for reading and putting in force */

static const cw_setting_info_t table[] = {
    {"host", "name", CW_SETTING_NAME, AT(name), NULL, 0, 0, "name of this host, unique in the cluster"},
    {"host", "hall", CW_SETTING_NAME, AT(hall), NULL, 0, 0, "hall that this host stands in"},
    {"host", "cluster", CW_SETTING_NAME, AT(cluster), "chalkway", 0, 0, "peers of other clusters are refused"},
    {"host", "first_start", CW_SETTING_COUNT_KIND, AT(first_start), "0", 0, 1,
     "1: the whole system starts for the first time and nobody calls yet"},
    {"listen", "callers", CW_SETTING_ADDRESS, AT(callers), NULL, 0, 0, "address for requests"},
    {"listen", "ready", CW_SETTING_ADDRESS, AT(ready), NULL, 0, 0, "address that tells whether this host is ready"},
    {"listen", "lookup", CW_SETTING_ADDRESS, AT(lookup), NULL, 0, 0, "address that tells callers which hosts to use"},
    {"listen", "metrics", CW_SETTING_TEXT, AT(metrics), "", 0, 0, "address of the metrics, none when empty"},
    {"listen", "peer", CW_SETTING_ADDRESS, AT(peer), NULL, 0, 0,
     "address for membership, TCP and UDP; all hosts use the same ports"},
    {"listen", "load", CW_SETTING_ADDRESS, AT(load), NULL, 0, 0, "address for news of load, UDP"},
    {"listen", "share", CW_SETTING_ADDRESS, AT(share), NULL, 0, 0, "address at which peers read the configuration"},
    {"peers", "seeds", CW_SETTING_TEXT, AT(seeds), "", 0, 0, "addresses to join, separated by commas"},
    {"peers", "seed_port", CW_SETTING_COUNT_KIND, AT(seed_port), "0", 0, 65535,
     "port of the seeds' peer address where the seeds name another, 0: as named"},
    {"source", "address", CW_SETTING_ADDRESS, AT(source), NULL, 0, 0, "where the configuration is published"},
    {"source", "apply", CW_SETTING_MS, AT(apply_ms), "2s", 250, 600000,
     "a change of the configuration is to be in force everywhere so long after it was published"},
    {"source", "drain", CW_SETTING_MS, AT(drain_ms), "2s", 250, 600000,
     "a server is to get nothing new so long after it was published as leaving"},
    {"source", "close", CW_SETTING_MS, AT(close_ms), "0ms", 0, 600000,
     "the servers of a hall are to get nothing new so long after it was published as closed, 0: halls are not "
     "closed"},
    {"source", "read", CW_SETTING_MS, AT(read_ms), "0ms", 0, 60000,
     "age at which both are read again by the daemon of the first rank, 0: a fifth of the shorter of these times"},
    {"limits", "memory", CW_SETTING_BYTES, AT(memory_bytes), "256m", 1 << 24, 4294967295.0, "memory of the process"},
    {"limits", "descriptors", CW_SETTING_COUNT_KIND, AT(descriptors), "4096", 64, 1000000, "of the process"},
    {"limits", "link", CW_SETTING_NUMBER, AT(link_mbps), "0", 0, 1000000,
     "Mbit/s of this host's network, 0: not said; hosts with the widest links pass news on in large fleets"},
    {"limits", "servers", CW_SETTING_COUNT_KIND, AT(servers), "0", 0, 10000000,
     "servers of all pools that are known at once, 0: as many as a quarter of the memory holds"},
    {"limits", "suspects", CW_SETTING_COUNT_KIND, AT(suspects), "4096", 64, 1000000,
     "requests under which servers ended that are remembered, a quarter of them of one workspace"},
    {"service", "lookup_keep", CW_SETTING_MS, AT(lookup_keep_ms), "1s", 100, 600000,
     "how long callers keep a lookup answer"},
    {"service", "grace", CW_SETTING_MS, AT(grace_ms), "8s", 500, 600000, "from the signal to stop to the forced end"},
    {"service", "retry_window", CW_SETTING_MS, AT(retry_window_ms), "10s", 100, 600000, "of the budget for repeats"},
    {"service", "retry_ratio", CW_SETTING_NUMBER, AT(retry_ratio), "0.1", 0, 1, "repeats for each first try"},
    {"service", "retry_slack", CW_SETTING_NUMBER, AT(retry_slack), "10", 0, 1000000,
     "repeats beyond that in a window, all hosts together"},
    {"service", "hold", CW_SETTING_MS, AT(hold_ms), "30m", 1000, 86400000,
     "how long it counts against a request that a server ended under it; with three such servers it is held back"},
    {"service", "rest_max", CW_SETTING_MS, AT(rest_max_ms), "30m", 1000, 86400000,
     "longest time for which a server that asks this host for rest (503 or 429 with Retry-After) is left alone"},
    {"log", "level", CW_SETTING_NAME, AT(log_level), "info", 0, 0, "debug, info, warn or error"},
    {"log", "format", CW_SETTING_NAME, AT(log_format), "text", 0, 0, "text or json"},
};

const cw_setting_info_t* gateway_settings_info(uint32_t* count) {
    *count = sizeof(table) / sizeof(table[0]);
    return table;
}

/* Time in which a change at the source is to be known here. */
static uint32_t known_within_ms(const gateway_settings_t* s) {
    return s->apply_ms < s->drain_ms ? s->apply_ms : s->drain_ms;
}

/* How often the source is read, where the file doesn't say so. */
static uint32_t derived_read_ms(const gateway_settings_t* s) {
    return known_within_ms(s) / READ_PARTS;
}

uint32_t gateway_settings_late_ms(const gateway_settings_t* s) {
    return (uint32_t)(known_within_ms(s) * LATE_SHARE);
}

/* Servers that a quarter of the memory holds, where the file gives no bound. */
static uint32_t derived_servers(const gateway_settings_t* s) {
    return (uint32_t)(s->memory_bytes / SERVERS_MEMORY_PARTS / SERVER_BYTES);
}

cw_status_t gateway_settings_load(const char* path, gateway_settings_t* settings, cw_settings_errors_t* errors) {
    memset(settings, 0, sizeof(*settings));
    cw_settings_read(path, table, sizeof(table) / sizeof(table[0]), settings, errors);
    if (settings->log_level[0]) {
        cw_settings_choice(path, "log", "level", settings->log_level, " debug info warn error ", errors);
        cw_settings_choice(path, "log", "format", settings->log_format, " text json ", errors);
    }
    settings->servers = settings->servers ? settings->servers : derived_servers(settings);
    settings->read_ms = settings->read_ms ? settings->read_ms : derived_read_ms(settings);
    return errors->count ? CW_ERR_INVALID : CW_OK;
}
