#ifndef CHALKWAY_SETTINGS_H
#define CHALKWAY_SETTINGS_H
/*
    chalkway_settings.h -- a daemon's settings, from an INI file

    WHAT IT IS
        The settings of chalkwayd with their sections, keys, units and
        defaults in one table. All errors of a file are reported together,
        each with line, key and reason.

    HOW TO USE IT
            cw_settings_t settings;
            cw_settings_errors_t errors = {0};
            if (cw_settings_load("chalkwayd.ini", &settings, &errors) != CW_OK) {
                for (uint32_t i = 0; i < errors.count; i++) puts(errors.lines[i]);
            }

    WHAT IT DOES NOT DO
        No environment variables, no includes, no writing.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_SEEDS_MAX 16           /* seed addresses */
#define CW_SETTINGS_ERRORS_MAX 32 /* further errors of a file are dropped */
#define CW_SETTINGS_TEXT_MAX 512  /* bytes of a text, with its terminating zero */

typedef struct cw_settings_t {
    /* [host] */
    char name[CW_NAME_MAX];
    char hall[CW_NAME_MAX];
    char cluster[CW_NAME_MAX];
    char http[CW_NAME_MAX];           /* address for callers */
    char peer[CW_NAME_MAX];           /* address for daemons */
    char operator_http[CW_NAME_MAX];  /* address for operators */
    char seeds[CW_SETTINGS_TEXT_MAX]; /* peer addresses, separated by commas */
    /* [platform] */
    char platform[CW_SETTINGS_TEXT_MAX]; /* URL */
    uint32_t watch_timeout_ms;           /* duration of a long poll */
    uint32_t poller_count;               /* hosts per hall that poll the platform */
    uint32_t hosts_ms;                   /* interval between polls of the list of hosts */
    double platform_calls_per_s;         /* limit of this host's calls per second */
    /* [entry] */
    uint32_t max_requests;                  /* concurrent requests */
    uint32_t max_body_bytes;                /* bytes of a request body */
    uint32_t max_connections;               /* connections of callers */
    uint32_t lookup_ttl_ms;                 /* how long callers may cache a lookup response */
    uint32_t grace_ms;                      /* from the stop signal to the forced exit */
    uint32_t ticket_ms;                     /* lifetime of a ticket */
    uint32_t allocator_response_timeout_ms; /* timeout for an allocator's response; then the entry uses direct mode */
    uint32_t protected_allocator_response_timeout_ms; /* that timeout for requests of protected classes */
    uint32_t first_token_timeout_ms; /* timeout for a resumable stream's first token; then another upstream is tried */
    uint32_t stall_ms;               /* timeout for each further token; then another upstream is tried */
    uint32_t max_response_bytes;     /* bytes of a response that is buffered as a whole */
    double retry_ratio;              /* retries allowed per first attempt */
    /* [allocator] */
    char policy[CW_NAME_MAX];       /* shared, solo, lease or round-robin */
    uint32_t grant_ms;              /* time within which a grant must be used */
    uint32_t lease_ms;              /* time after which the grants of an entry that sends nothing are reclaimed */
    uint32_t max_waiting;           /* slot requests queued at one shard */
    uint32_t load_poll_interval_ms; /* interval between polls of an upstream's load */
    /* [member] */
    uint32_t probe_ms;         /* interval between probes */
    uint32_t probe_timeout_ms; /* timeout for the response to a direct probe */
    uint32_t suspect_ms;       /* time from suspecting a host to declaring it dead */
    /* [log] */
    char log_level[CW_NAME_MAX];
    char log_format[CW_NAME_MAX];
} cw_settings_t;

#define CW_SETTINGS_MAX 64 /* settings in one table */

typedef struct cw_settings_errors_t {
    uint32_t count;
    char lines[CW_SETTINGS_ERRORS_MAX][CW_MESSAGE_MAX];
} cw_settings_errors_t;

typedef enum cw_setting_kind_t {
    CW_SETTING_TEXT = 0,
    CW_SETTING_NAME,    /* letters, digits, '-', '.', '_' */
    CW_SETTING_ADDRESS, /* IP:PORT */
    CW_SETTING_MS,      /* a duration with its unit: 500ms, 5s, 2m */
    CW_SETTING_BYTES,   /* a size in bytes: 1000, 64k, 8m */
    CW_SETTING_INTEGER, /* an integer */
    CW_SETTING_NUMBER   /* a real number */
} cw_setting_kind_t;

typedef struct cw_setting_info_t {
    const char* section;
    const char* key;
    cw_setting_kind_t kind;
    size_t offset;             /* of the field in the struct of settings */
    const char* default_value; /* default, written as in the file; NULL: the setting is required */
    double min, max;           /* in ms, in bytes or in the setting's own unit */
    const char* help;
    bool is_reloadable; /* a running daemon applies a change; otherwise it needs a restart */
} cw_setting_info_t;

cw_status_t cw_settings_load(const char* path, cw_settings_t* settings, cw_settings_errors_t* errors);
/* Reads a file by a table of at most CW_SETTINGS_MAX settings into a struct, whose fields are
   char[CW_SETTINGS_TEXT_MAX] for texts, char[CW_NAME_MAX] for names and addresses, uint32_t or double. The struct must
   be zeroed. */
cw_status_t cw_settings_read(const char* path, const cw_setting_info_t* table, uint32_t count, void* settings,
                             cw_settings_errors_t* errors);
/* Applies a file that was read again: copies the reloadable settings that differ from those in force, and passes the
   others that differ to on_ignored. Returns the number of settings copied. */
uint32_t cw_settings_apply(const cw_setting_info_t* table, uint32_t count, void* settings, const void* reloaded,
                           void (*on_ignored)(const cw_setting_info_t* info, void* user_data), void* user_data);
/* Adds an error for each item of the list, separated by commas, that is not IP:PORT. */
void cw_settings_check_seeds(const char* path, const char* section, const char* key, const char* list,
                             cw_settings_errors_t* errors);
/* Adds an error unless value is one of the choices, a list in which every word has a space before and after it. */
void cw_settings_check_choice(const char* path, const char* section, const char* key, const char* value,
                              const char* choices, cw_settings_errors_t* errors);
/* Returns the table of all settings of chalkwayd. */
const cw_setting_info_t* cw_settings_table(uint32_t* count);

#endif /* CHALKWAY_SETTINGS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SETTINGS_IMPL_INCLUDED
#define CHALKWAY_SETTINGS_IMPL_INCLUDED

#include <arpa/inet.h>
#include <assert.h>
#include <ctype.h>
#include <ini.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define _CW_SETTINGS_OFFSET(field) offsetof(cw_settings_t, field)

static const cw_setting_info_t _cw_settings[] = {
    {"host", "name", CW_SETTING_NAME, _CW_SETTINGS_OFFSET(name), NULL, 0, 0, "name of this host, unique in the cluster",
     false},
    {"host", "hall", CW_SETTING_NAME, _CW_SETTINGS_OFFSET(hall), NULL, 0, 0, "hall that this host stands in", false},
    {"host", "cluster", CW_SETTING_NAME, _CW_SETTINGS_OFFSET(cluster), "chalkway", 0, 0,
     "peers of other clusters are refused", false},
    {"host", "http", CW_SETTING_ADDRESS, _CW_SETTINGS_OFFSET(http), NULL, 0, 0, "address for callers", false},
    {"host", "peer", CW_SETTING_ADDRESS, _CW_SETTINGS_OFFSET(peer), NULL, 0, 0,
     "address for other daemons, TCP and UDP", false},
    {"host", "operator", CW_SETTING_ADDRESS, _CW_SETTINGS_OFFSET(operator_http), NULL, 0, 0,
     "address for operators and metrics", false},
    {"host", "seeds", CW_SETTING_TEXT, _CW_SETTINGS_OFFSET(seeds), "", 0, 0,
     "peer addresses to join, separated by commas", true},
    {"platform", "url", CW_SETTING_TEXT, _CW_SETTINGS_OFFSET(platform), "", 0, 0,
     "base URL of the configuration service", false},
    {"platform", "watch", CW_SETTING_MS, _CW_SETTINGS_OFFSET(watch_timeout_ms), "20s", 100, 300000,
     "duration of one long poll", true},
    {"platform", "readers", CW_SETTING_INTEGER, _CW_SETTINGS_OFFSET(poller_count), "1", 1, 100,
     "hosts per hall that poll the platform", true},
    {"platform", "hosts", CW_SETTING_MS, _CW_SETTINGS_OFFSET(hosts_ms), "15s", 100, 600000,
     "interval between polls of the list of hosts", true},
    {"platform", "rate", CW_SETTING_NUMBER, _CW_SETTINGS_OFFSET(platform_calls_per_s), "2", 0.1, 1000,
     "limit of this host's calls per second", false},
    {"entry", "max_requests", CW_SETTING_INTEGER, _CW_SETTINGS_OFFSET(max_requests), "4096", 16, 65536,
     "concurrent requests", false},
    {"entry", "max_body", CW_SETTING_BYTES, _CW_SETTINGS_OFFSET(max_body_bytes), "1m", 1024, 67108864,
     "largest request body", false},
    {"entry", "max_connections", CW_SETTING_INTEGER, _CW_SETTINGS_OFFSET(max_connections), "4000", 16, 60000,
     "connections of callers", false},
    {"entry", "lookup_keep", CW_SETTING_MS, _CW_SETTINGS_OFFSET(lookup_ttl_ms), "5s", 100, 600000,
     "how long callers may cache a lookup response", true},
    {"entry", "grace", CW_SETTING_MS, _CW_SETTINGS_OFFSET(grace_ms), "120s", 500, 3600000,
     "from the stop signal to the forced exit", true},
    {"entry", "ticket_keep", CW_SETTING_MS, _CW_SETTINGS_OFFSET(ticket_ms), "60s", 1000, 3600000,
     "lifetime of a ticket", false},
    {"entry", "silent", CW_SETTING_MS, _CW_SETTINGS_OFFSET(allocator_response_timeout_ms), "150ms", 5, 10000,
     "timeout for an allocator's response; then the entry uses direct mode", false},
    {"entry", "silent_protected", CW_SETTING_MS, _CW_SETTINGS_OFFSET(protected_allocator_response_timeout_ms), "40ms",
     5, 10000, "the same for requests of protected classes", false},
    {"entry", "first_token", CW_SETTING_MS, _CW_SETTINGS_OFFSET(first_token_timeout_ms), "3s", 50, 600000,
     "timeout for a resumable stream's first token; then another upstream is tried", false},
    {"entry", "stall", CW_SETTING_MS, _CW_SETTINGS_OFFSET(stall_ms), "1500ms", 20, 600000,
     "the same for each further token", false},
    {"entry", "max_answer", CW_SETTING_BYTES, _CW_SETTINGS_OFFSET(max_response_bytes), "4m", 1024, 67108864,
     "largest response that is buffered as a whole", true},
    {"entry", "retry_share", CW_SETTING_NUMBER, _CW_SETTINGS_OFFSET(retry_ratio), "0.1", 0, 1,
     "retries allowed per first attempt", false},
    {"allocator", "policy", CW_SETTING_NAME, _CW_SETTINGS_OFFSET(policy), "shared", 0, 0,
     "shared; solo, lease and round-robin are baselines for comparison", false},
    {"allocator", "grant", CW_SETTING_MS, _CW_SETTINGS_OFFSET(grant_ms), "500ms", 20, 10000,
     "time within which a grant must be used", false},
    {"allocator", "lease", CW_SETTING_MS, _CW_SETTINGS_OFFSET(lease_ms), "60s", 1000, 600000,
     "time after which the grants of an entry that sends nothing are reclaimed", false},
    {"allocator", "max_waiting", CW_SETTING_INTEGER, _CW_SETTINGS_OFFSET(max_waiting), "4096", 16, 200000,
     "slot requests queued at one shard", false},
    {"allocator", "report", CW_SETTING_MS, _CW_SETTINGS_OFFSET(load_poll_interval_ms), "1s", 100, 60000,
     "interval between polls of an upstream's load", true},
    {"member", "probe", CW_SETTING_MS, _CW_SETTINGS_OFFSET(probe_ms), "1s", 50, 60000, "interval between probes",
     false},
    {"member", "probe_timeout", CW_SETTING_MS, _CW_SETTINGS_OFFSET(probe_timeout_ms), "300ms", 10, 30000,
     "timeout for the response to a direct probe", false},
    {"member", "suspect", CW_SETTING_MS, _CW_SETTINGS_OFFSET(suspect_ms), "4s", 100, 600000,
     "time from suspecting a host to declaring it dead", false},
    {"log", "level", CW_SETTING_NAME, _CW_SETTINGS_OFFSET(log_level), "info", 0, 0, "debug, info, warn or error", true},
    {"log", "format", CW_SETTING_NAME, _CW_SETTINGS_OFFSET(log_format), "text", 0, 0, "text or json", true},
};

#define _CW_SETTINGS_COUNT (sizeof(_cw_settings) / sizeof(_cw_settings[0]))

const cw_setting_info_t* cw_settings_table(uint32_t* count) {
    *count = (uint32_t)_CW_SETTINGS_COUNT;
    return _cw_settings;
}

typedef struct _cw_settings_loader_t {
    const char* path;
    const cw_setting_info_t* table;
    uint32_t count;
    void* settings;
    cw_settings_errors_t* errors;
    FILE* file;
    int line;                     /* number of the line that was read last */
    int line_of[CW_SETTINGS_MAX]; /* line of each setting, 0: not in the file */
} _cw_settings_loader_t;

static void _cw_settings_add_error(_cw_settings_loader_t* loader, int line, const char* section, const char* key,
                                   const char* fmt, ...) __attribute__((format(printf, 5, 6)));

static void _cw_settings_add_error(_cw_settings_loader_t* loader, int line, const char* section, const char* key,
                                   const char* fmt, ...) {
    if (loader->errors->count == CW_SETTINGS_ERRORS_MAX) {
        return;
    }
    char* out = loader->errors->lines[loader->errors->count++];
    int n = snprintf(out, CW_MESSAGE_MAX, "%s:%d: [%s] %s: ", loader->path, line, section, key);
    if (n < 0 || n >= CW_MESSAGE_MAX) {
        return;
    }
    va_list args;
    va_start(args, fmt);
    vsnprintf(out + n, CW_MESSAGE_MAX - (size_t)n, fmt, args);
    va_end(args);
}

/* Reads a number with its unit; returns false when it is not a number or the kind does not have the unit. */
static bool _cw_settings_parse_number(cw_setting_kind_t kind, const char* text, double* out) {
    char* unit = NULL;
    *out = strtod(text, &unit);
    if (unit == text) {
        return false;
    }
    if (kind == CW_SETTING_MS) {
        double factor = strcmp(unit, "ms") == 0  ? 1
                        : strcmp(unit, "s") == 0 ? 1000
                        : strcmp(unit, "m") == 0 ? 60000
                                                 : 0;
        *out *= factor;
        return factor > 0;
    }
    if (kind == CW_SETTING_BYTES) {
        double factor = !*unit ? 1 : strcmp(unit, "k") == 0 ? 1024 : strcmp(unit, "m") == 0 ? 1048576 : 0;
        *out *= factor;
        return factor > 0;
    }
    return *unit == 0;
}

static bool _cw_settings_is_address(const char* text) {
    char ip[CW_NAME_MAX];
    struct in_addr parsed;
    cw_copy(ip, sizeof(ip), text);
    char* colon = strrchr(ip, ':');
    if (!colon) {
        return false;
    }
    *colon = 0;
    char* end = NULL;
    unsigned long port = strtoul(colon + 1, &end, 10);
    return end != colon + 1 && !*end && port <= UINT16_MAX && inet_pton(AF_INET, ip, &parsed) == 1;
}

static bool _cw_settings_is_name(const char* text) {
    for (const char* c = text; *c; c++) {
        if (!isalnum((unsigned char)*c) && !strchr("-._", *c)) {
            return false;
        }
    }
    return *text && strlen(text) < CW_NAME_MAX;
}

static void _cw_settings_set(_cw_settings_loader_t* loader, const cw_setting_info_t* info, int line,
                             const char* value) {
    char* field = (char*)loader->settings + info->offset;
    double number = 0;
    switch (info->kind) {
        case CW_SETTING_TEXT:
            if (strlen(value) >= CW_SETTINGS_TEXT_MAX) {
                _cw_settings_add_error(loader, line, info->section, info->key, "is too long");
                return;
            }
            cw_copy(field, CW_SETTINGS_TEXT_MAX, value);
            return;
        case CW_SETTING_NAME:
            if (!_cw_settings_is_name(value)) {
                _cw_settings_add_error(loader, line, info->section, info->key,
                                       "must be letters, digits, '-', '.' and '_'");
                return;
            }
            cw_copy(field, CW_NAME_MAX, value);
            return;
        case CW_SETTING_ADDRESS:
            if (!_cw_settings_is_address(value)) {
                _cw_settings_add_error(loader, line, info->section, info->key, "must be IP:PORT");
                return;
            }
            cw_copy(field, CW_NAME_MAX, value);
            return;
        default:
            break;
    }
    if (!_cw_settings_parse_number(info->kind, value, &number)) {
        const char* expected = info->kind == CW_SETTING_MS      ? "a time with its unit, such as 500ms, 5s or 2m"
                               : info->kind == CW_SETTING_BYTES ? "a size in bytes, such as 1000, 64k or 8m"
                                                                : "a number";
        _cw_settings_add_error(loader, line, info->section, info->key, "must be %s", expected);
    } else if (number < info->min || number > info->max) {
        _cw_settings_add_error(loader, line, info->section, info->key, "must be from %g to %g%s", info->min, info->max,
                               info->kind == CW_SETTING_MS ? " ms" : "");
    } else if (info->kind == CW_SETTING_NUMBER) {
        memcpy(field, &number, sizeof(number));
    } else {
        uint32_t integer = (uint32_t)number;
        memcpy(field, &integer, sizeof(integer));
    }
}

/* Line reader for inih that counts the lines. */
static char* _cw_settings_next_line(char* text, int size, void* user) {
    _cw_settings_loader_t* loader = user;
    char* got = fgets(text, size, loader->file);
    loader->line += got ? 1 : 0;
    return got;
}

static int _cw_settings_on_pair(void* user, const char* section, const char* key, const char* value) {
    _cw_settings_loader_t* loader = user;
    int line = loader->line;
    for (uint32_t i = 0; i < loader->count; i++) {
        const cw_setting_info_t* info = &loader->table[i];
        if (strcmp(section, info->section) != 0 || strcmp(key, info->key) != 0) {
            continue;
        }
        if (loader->line_of[i]) {
            _cw_settings_add_error(loader, line, section, key, "is given twice, first on line %d", loader->line_of[i]);
        }
        loader->line_of[i] = line;
        _cw_settings_set(loader, info, line, value);
        return 1;
    }
    _cw_settings_add_error(loader, line, section, key, "is not known");
    return 1;
}

/* Two addresses of this host must differ, unless the port is 0. */
static void _cw_settings_check_addresses(_cw_settings_loader_t* loader, const cw_settings_t* settings) {
    const struct {
        const char* key;
        const char* value;
    } addresses[] = {{"http", settings->http}, {"peer", settings->peer}, {"operator", settings->operator_http}};
    for (size_t i = 1; i < 3; i++) {
        for (size_t j = 0; j < i; j++) {
            const char* value = addresses[i].value;
            size_t len = strlen(value);
            bool has_any_port = len > 2 && strcmp(value + len - 2, ":0") == 0;
            if (value[0] && !has_any_port && strcmp(value, addresses[j].value) == 0) {
                _cw_settings_add_error(loader, 0, "host", addresses[i].key, "is the same address as %s",
                                       addresses[j].key);
            }
        }
    }
}

void cw_settings_check_choice(const char* path, const char* section, const char* key, const char* value,
                              const char* choices, cw_settings_errors_t* errors) {
    char quoted[CW_NAME_MAX + 2];
    snprintf(quoted, sizeof(quoted), " %s ", value);
    if (!strstr(choices, quoted)) {
        _cw_settings_loader_t loader = {.path = path, .errors = errors};
        _cw_settings_add_error(&loader, 0, section, key, "must be one of%s", choices);
    }
}

void cw_settings_check_seeds(const char* path, const char* section, const char* key, const char* list,
                             cw_settings_errors_t* errors) {
    char seeds[CW_SETTINGS_TEXT_MAX];
    char* state = NULL;
    _cw_settings_loader_t loader = {.path = path, .errors = errors};
    cw_copy(seeds, sizeof(seeds), list);
    for (char* seed = strtok_r(seeds, ", ", &state); seed; seed = strtok_r(NULL, ", ", &state)) {
        if (!_cw_settings_is_address(seed)) {
            _cw_settings_add_error(&loader, 0, section, key, "%.60s must be IP:PORT", seed);
        }
    }
}

static size_t _cw_settings_field_size(cw_setting_kind_t kind) {
    switch (kind) {
        case CW_SETTING_TEXT:
            return CW_SETTINGS_TEXT_MAX;
        case CW_SETTING_NAME:
        case CW_SETTING_ADDRESS:
            return CW_NAME_MAX;
        case CW_SETTING_NUMBER:
            return sizeof(double);
        default:
            return sizeof(uint32_t);
    }
}

uint32_t cw_settings_apply(const cw_setting_info_t* table, uint32_t count, void* settings, const void* reloaded,
                           void (*on_ignored)(const cw_setting_info_t* info, void* user_data), void* user_data) {
    uint32_t applied = 0;
    for (uint32_t i = 0; i < count; i++) {
        const cw_setting_info_t* info = &table[i];
        char* current = (char*)settings + info->offset;
        const char* next = (const char*)reloaded + info->offset;
        size_t size = _cw_settings_field_size(info->kind);
        if (memcmp(current, next, size) == 0) {
            continue;
        }
        if (info->is_reloadable) {
            memcpy(current, next, size);
            applied++;
        } else {
            on_ignored(info, user_data);
        }
    }
    return applied;
}

static void _cw_settings_fill_defaults(_cw_settings_loader_t* loader) {
    for (uint32_t i = 0; i < loader->count; i++) {
        if (loader->line_of[i]) {
            continue;
        }
        if (loader->table[i].default_value) {
            _cw_settings_set(loader, &loader->table[i], 0, loader->table[i].default_value);
        } else {
            _cw_settings_add_error(loader, 0, loader->table[i].section, loader->table[i].key, "is missing");
        }
    }
}

cw_status_t cw_settings_read(const char* path, const cw_setting_info_t* table, uint32_t count, void* settings,
                             cw_settings_errors_t* errors) {
    assert(count <= CW_SETTINGS_MAX);
    _cw_settings_loader_t loader = {
        .path = path, .table = table, .count = count, .settings = settings, .errors = errors};
    loader.file = fopen(path, "r");
    if (!loader.file) {
        _cw_settings_add_error(&loader, 0, "", "", "the file cannot be opened");
        return CW_ERR_INVALID;
    }
    int line = ini_parse_stream(_cw_settings_next_line, &loader, _cw_settings_on_pair, &loader);
    fclose(loader.file);
    if (line > 0) {
        _cw_settings_add_error(&loader, line, "", "", "the line is not a section, a key or a comment");
    }
    _cw_settings_fill_defaults(&loader);
    return errors->count ? CW_ERR_INVALID : CW_OK;
}

cw_status_t cw_settings_load(const char* path, cw_settings_t* settings, cw_settings_errors_t* errors) {
    memset(settings, 0, sizeof(*settings));
    cw_status_t status = cw_settings_read(path, _cw_settings, (uint32_t)_CW_SETTINGS_COUNT, settings, errors);
    if (status != CW_OK && !settings->log_level[0]) {
        return status; /* the file could not be opened */
    }
    _cw_settings_loader_t loader = {.path = path, .errors = errors};
    _cw_settings_check_addresses(&loader, settings);
    cw_settings_check_seeds(path, "host", "seeds", settings->seeds, errors);
    cw_settings_check_choice(path, "allocator", "policy", settings->policy, " shared solo lease round-robin ", errors);
    cw_settings_check_choice(path, "log", "level", settings->log_level, " debug info warn error ", errors);
    cw_settings_check_choice(path, "log", "format", settings->log_format, " text json ", errors);
    return errors->count ? CW_ERR_INVALID : CW_OK;
}

#endif /* CHALKWAY_SETTINGS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
