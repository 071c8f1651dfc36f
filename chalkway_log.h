#ifndef CHALKWAY_LOG_H
#define CHALKWAY_LOG_H
/*
    chalkway_log.h -- numbered log events

    WHAT IT IS
        A small logger. Every event has a number and a name from the list
        below, which docs/EVENTS.md explains, and key=value pairs. Each event
        is written as one line, either plain text or a JSON object, to a
        callback or to standard error.

    HOW TO USE IT
            cw_log_t log = {.level = CW_LOG_INFO, .json = false};
            cw_log(&log, CW_EVENT_STARTED, "host=%s http=%s", name, address);

    WHAT IT DOES NOT DO
        No files, no rotation. Values must not contain spaces unless the
        caller quotes them with "...".

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef enum cw_log_level_t { CW_LOG_DEBUG = 0, CW_LOG_INFO, CW_LOG_WARN, CW_LOG_ERROR } cw_log_level_t;

typedef enum cw_event_t {
    CW_EVENT_STARTED = 100,
    CW_EVENT_STOPPING = 101,
    CW_EVENT_STOPPED = 102,
    CW_EVENT_WOKE = 103,
    CW_EVENT_RELOADED = 104,
    CW_EVENT_RELOAD_FAILED = 105,
    CW_EVENT_SETTING_IGNORED = 106,
    CW_EVENT_MEMBERS_CHANGED = 200,
    CW_EVENT_PEER_REFUSED = 201,
    CW_EVENT_PEER_CLOSED = 202,
    CW_EVENT_CONFIG_CHANGED = 300,
    CW_EVENT_CONFIG_INVALID = 301,
    CW_EVENT_PLATFORM_FAILED = 302,
    CW_EVENT_PLATFORM_BACK = 303,
    CW_EVENT_SHARD_TAKEN = 400,
    CW_EVENT_SHARD_LEFT = 401,
    CW_EVENT_ALLOCATOR_SILENT = 402,
    CW_EVENT_REQUEST_ENDED = 500,
    CW_EVENT_UPSTREAM_FAILED = 501,
    CW_EVENT_REQUEST_SENT = 510,
    CW_EVENT_REQUEST_RETRIED = 511,
    CW_EVENT_REQUEST_QUEUED = 512,
    CW_EVENT_REQUEST_DENIED = 513,
    CW_EVENT_REQUEST_DONE = 514,
    CW_EVENT_REQUEST_REFUSED = 515,
    CW_EVENT_REQUEST_SUSPECTED = 516,
    CW_EVENT_REQUEST_HELD = 517,
    CW_EVENT_REQUEST_BARRED = 518,
    CW_EVENT_SERVERS_CHANGED = 520,
    CW_EVENT_SERVER_AWAY = 521,
    CW_EVENT_INVENTORY = 524,
    CW_EVENT_INVENTORY_FAILED = 525,
    CW_EVENT_PACE_LEARNED = 526,
    CW_EVENT_SERVER_SUSPECTED = 527,
    CW_EVENT_SERVER_TRUSTED = 528,
    CW_EVENT_SERVER_RESTARTED = 529,
    CW_EVENT_SERVER_BACK = 522,
    CW_EVENT_SERVER_LEAVES = 523,
    CW_EVENT_SOURCE_LOST = 530,
    CW_EVENT_SOURCE_BACK = 531,
    CW_EVENT_ENTRY_REFUSED = 532,
    CW_EVENT_POOL_WIDENED = 535,
    CW_EVENT_SERVERS_FULL = 536,
    CW_EVENT_FORECAST_CHANGED = 537,
    CW_EVENT_SOURCE_RESTORED = 533,
    CW_EVENT_SOURCE_LIFE_ODD = 534,
    CW_EVENT_SERVER_DOUBTED = 538,
    CW_EVENT_SERVER_CONFIRMED = 539,
    CW_EVENT_LINES_LOST = 540,
    CW_EVENT_SERVER_LIMITED = 550,
    CW_EVENT_SERVER_RESTS = 551,
    CW_EVENT_REJECT_LIMIT = 552,
    CW_EVENT_PUSHBACK_UNREADABLE = 559,
    CW_EVENT_PATH_BROKEN = 560,
    CW_EVENT_PATH_RESTORED = 561,
    CW_EVENT_POOL_CUT = 562,
    CW_EVENT_POOL_REACHED = 563,
    CW_EVENT_TUNNEL_REFUSED = 564,
    CW_EVENT_STREAM_VERSION = 566,
    CW_EVENT_HANDOVER = 567,
    CW_EVENT_SOURCE_HISTORY = 568,
    CW_EVENT_LIST_GAP = 569,
    CW_EVENT_STREAM_VOUCHED = 570,
    CW_EVENT_STREAM_INQUIRY = 571
} cw_event_t;

typedef struct cw_log_t {
    cw_log_level_t level; /* events of lower levels are dropped */
    bool json;
    /* Receives each line without its line feed; NULL: lines go to standard error. */
    void (*write)(const char* line, void* user_data);
    void* user_data;
} cw_log_t;

/* Name and level of an event, as in docs/EVENTS.md; an unknown event has the name "?". */
typedef struct cw_event_info_t {
    cw_event_t event;
    cw_log_level_t level;
    const char* name;
} cw_event_info_t;

cw_event_info_t cw_event_info(cw_event_t event);
/* Parses the name of a level: debug, info, warn or error; any other name gives info. */
cw_log_level_t cw_log_level(const char* name);
/* Writes one event; fmt formats its key=value pairs, separated by single spaces. */
void cw_log(const cw_log_t* log, cw_event_t event, const char* fmt, ...) __attribute__((format(printf, 3, 4)));

#endif /* CHALKWAY_LOG_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_LOG_IMPL_INCLUDED
#define CHALKWAY_LOG_IMPL_INCLUDED

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>

#define _CW_LOG_LINE_MAX 1024

static const cw_event_info_t _cw_log_events[] = {
    {CW_EVENT_STARTED, CW_LOG_INFO, "started"},
    {CW_EVENT_STOPPING, CW_LOG_INFO, "stopping"},
    {CW_EVENT_STOPPED, CW_LOG_INFO, "stopped"},
    {CW_EVENT_WOKE, CW_LOG_WARN, "woke"},
    {CW_EVENT_RELOADED, CW_LOG_INFO, "reloaded"},
    {CW_EVENT_RELOAD_FAILED, CW_LOG_ERROR, "reload-failed"},
    {CW_EVENT_SETTING_IGNORED, CW_LOG_WARN, "setting-ignored"},
    {CW_EVENT_MEMBERS_CHANGED, CW_LOG_INFO, "members-changed"},
    {CW_EVENT_PEER_REFUSED, CW_LOG_WARN, "peer-refused"},
    {CW_EVENT_PEER_CLOSED, CW_LOG_DEBUG, "peer-closed"},
    {CW_EVENT_CONFIG_CHANGED, CW_LOG_INFO, "config-changed"},
    {CW_EVENT_CONFIG_INVALID, CW_LOG_WARN, "config-invalid"},
    {CW_EVENT_PLATFORM_FAILED, CW_LOG_WARN, "platform-failed"},
    {CW_EVENT_PLATFORM_BACK, CW_LOG_INFO, "platform-back"},
    {CW_EVENT_SHARD_TAKEN, CW_LOG_INFO, "shard-taken"},
    {CW_EVENT_SHARD_LEFT, CW_LOG_INFO, "shard-left"},
    {CW_EVENT_ALLOCATOR_SILENT, CW_LOG_WARN, "allocator-silent"},
    {CW_EVENT_REQUEST_ENDED, CW_LOG_DEBUG, "request-ended"},
    {CW_EVENT_UPSTREAM_FAILED, CW_LOG_WARN, "upstream-failed"},
    {CW_EVENT_REQUEST_SENT, CW_LOG_INFO, "request-sent"},
    {CW_EVENT_REQUEST_RETRIED, CW_LOG_INFO, "request-retried"},
    {CW_EVENT_REQUEST_QUEUED, CW_LOG_INFO, "request-queued"},
    {CW_EVENT_REQUEST_DENIED, CW_LOG_WARN, "request-denied"},
    {CW_EVENT_REQUEST_DONE, CW_LOG_INFO, "request-done"},
    {CW_EVENT_REQUEST_REFUSED, CW_LOG_WARN, "request-refused"},
    {CW_EVENT_REQUEST_SUSPECTED, CW_LOG_WARN, "request-suspected"},
    {CW_EVENT_REQUEST_HELD, CW_LOG_WARN, "request-held"},
    {CW_EVENT_REQUEST_BARRED, CW_LOG_WARN, "request-barred"},
    {CW_EVENT_SERVERS_CHANGED, CW_LOG_INFO, "servers-changed"},
    {CW_EVENT_SERVER_AWAY, CW_LOG_WARN, "server-away"},
    {CW_EVENT_INVENTORY, CW_LOG_INFO, "inventory"},
    {CW_EVENT_INVENTORY_FAILED, CW_LOG_WARN, "inventory-failed"},
    {CW_EVENT_PACE_LEARNED, CW_LOG_INFO, "pace-learned"},
    {CW_EVENT_SERVER_SUSPECTED, CW_LOG_WARN, "server-suspected"},
    {CW_EVENT_SERVER_TRUSTED, CW_LOG_INFO, "server-trusted"},
    {CW_EVENT_SERVER_RESTARTED, CW_LOG_INFO, "server-restarted"},
    {CW_EVENT_SERVER_DOUBTED, CW_LOG_INFO, "server-doubted"},
    {CW_EVENT_SERVER_CONFIRMED, CW_LOG_INFO, "server-confirmed"},
    {CW_EVENT_SERVER_BACK, CW_LOG_INFO, "server-back"},
    {CW_EVENT_SERVER_LEAVES, CW_LOG_INFO, "server-leaves"},
    {CW_EVENT_SOURCE_LOST, CW_LOG_WARN, "source-lost"},
    {CW_EVENT_SOURCE_BACK, CW_LOG_INFO, "source-back"},
    {CW_EVENT_SOURCE_RESTORED, CW_LOG_WARN, "source-restored"},
    {CW_EVENT_SOURCE_LIFE_ODD, CW_LOG_WARN, "source-life-odd"},
    {CW_EVENT_ENTRY_REFUSED, CW_LOG_WARN, "entry-refused"},
    {CW_EVENT_POOL_WIDENED, CW_LOG_INFO, "pool-widened"},
    {CW_EVENT_SERVERS_FULL, CW_LOG_WARN, "servers-full"},
    {CW_EVENT_FORECAST_CHANGED, CW_LOG_INFO, "forecast-changed"},
    {CW_EVENT_LINES_LOST, CW_LOG_WARN, "lines-lost"},
    {CW_EVENT_SERVER_LIMITED, CW_LOG_INFO, "server-limited"},
    {CW_EVENT_SERVER_RESTS, CW_LOG_INFO, "server-rests"},
    {CW_EVENT_REJECT_LIMIT, CW_LOG_WARN, "reject-limit"},
    {CW_EVENT_PATH_BROKEN, CW_LOG_WARN, "path-broken"},
    {CW_EVENT_PATH_RESTORED, CW_LOG_INFO, "path-restored"},
    {CW_EVENT_POOL_CUT, CW_LOG_WARN, "pool-cut"},
    {CW_EVENT_POOL_REACHED, CW_LOG_INFO, "pool-reached"},
    {CW_EVENT_TUNNEL_REFUSED, CW_LOG_WARN, "tunnel-refused"},
    {CW_EVENT_STREAM_VERSION, CW_LOG_INFO, "stream-version"},
    {CW_EVENT_HANDOVER, CW_LOG_INFO, "handover"},
    {CW_EVENT_SOURCE_HISTORY, CW_LOG_INFO, "source-history"},
    {CW_EVENT_LIST_GAP, CW_LOG_INFO, "list-gap"},
    {CW_EVENT_STREAM_VOUCHED, CW_LOG_INFO, "stream-vouched"},
    {CW_EVENT_STREAM_INQUIRY, CW_LOG_INFO, "stream-inquiry"},
    {CW_EVENT_PUSHBACK_UNREADABLE, CW_LOG_WARN, "pushback-unreadable"},
};

cw_event_info_t cw_event_info(cw_event_t event) {
    for (size_t i = 0; i < sizeof(_cw_log_events) / sizeof(_cw_log_events[0]); i++) {
        if (_cw_log_events[i].event == event) {
            return _cw_log_events[i];
        }
    }
    return (cw_event_info_t){.event = event, .level = CW_LOG_ERROR, .name = "?"};
}

/* Adds pairs such as a=1 b="x y" to a JSON object, all values as strings. Overwrites the text. */
static void _cw_log_add_pairs(json_t* object, char* pairs) {
    char* at = pairs;
    while (*at) {
        char* equals = strchr(at, '=');
        if (!equals) {
            return;
        }
        *equals = 0;
        char* value = equals + 1;
        char* end = NULL;
        if (*value == '"') {
            value++;
            end = strchr(value, '"');
        } else {
            end = strchr(value, ' ');
        }
        char* next = end ? end + 1 : value + strlen(value);
        if (end) {
            *end = 0;
        }
        json_object_set_new(object, at, json_string(value));
        at = next;
        while (*at == ' ') {
            at++;
        }
    }
}

static const char* const _cw_log_levels[] = {"debug", "info", "warn", "error"};

cw_log_level_t cw_log_level(const char* name) {
    for (int i = 0; i < 4; i++) {
        if (strcmp(name, _cw_log_levels[i]) == 0) {
            return (cw_log_level_t)i;
        }
    }
    return CW_LOG_INFO;
}

void cw_log(const cw_log_t* log, cw_event_t event, const char* fmt, ...) {
    cw_event_info_t info = cw_event_info(event);
    if (!log || info.level < log->level) {
        return;
    }
    char pairs[_CW_LOG_LINE_MAX];
    va_list args;
    va_start(args, fmt);
    vsnprintf(pairs, sizeof(pairs), fmt, args);
    va_end(args);
    struct timeval tv;
    gettimeofday(&tv, NULL);
    struct tm tm;
    gmtime_r(&tv.tv_sec, &tm);
    char when[40];
    size_t n = strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
    snprintf(when + n, sizeof(when) - n, ".%03dZ", (int)(tv.tv_usec / 1000));
    char line[_CW_LOG_LINE_MAX + 128];
    char* text = line;
    if (log->json) {
        json_t* object = json_pack("{s:s,s:s,s:i,s:s}", "time", when, "level", _cw_log_levels[info.level], "event",
                                   (int)event, "name", info.name);
        _cw_log_add_pairs(object, pairs);
        text = json_dumps(object, JSON_COMPACT);
        json_decref(object);
    } else {
        snprintf(line, sizeof(line), "%s %s %d %s %s", when, _cw_log_levels[info.level], (int)event, info.name, pairs);
    }
    if (log->write) {
        log->write(text, log->user_data);
    } else {
        fprintf(stderr, "%s\n", text);
    }
    if (text != line) {
        free(text);
    }
}

#endif /* CHALKWAY_LOG_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
