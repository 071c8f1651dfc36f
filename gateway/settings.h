#ifndef CW_GATEWAY_SETTINGS_H
#define CW_GATEWAY_SETTINGS_H
/* Settings of a gateway process, read from an INI file. The table in settings.c describes each of them. */
#include "../chalkway_forecast.h"
#include "../chalkway_settings.h"

typedef struct gateway_settings_t {
    /* [host] */
    char name[CW_NAME_MAX];
    char hall[CW_NAME_MAX];
    char cluster[CW_NAME_MAX];
    uint32_t first_start;
    /* [listen] */
    char callers[CW_NAME_MAX];
    char ready[CW_NAME_MAX];
    char lookup[CW_NAME_MAX];
    char metrics[CW_SETTINGS_TEXT_MAX];
    char peer[CW_NAME_MAX];
    char load[CW_NAME_MAX];
    char share[CW_NAME_MAX];
    /* [peers] */
    char seeds[CW_SETTINGS_TEXT_MAX];
    uint32_t seed_port;
    /* [source] */
    char source[CW_NAME_MAX];
    uint32_t servers;     /* 0 in the file: computed from the memory */
    uint32_t poll_age_ms; /* 0 in the file: computed from apply_ms and drain_ms */
    uint32_t apply_ms;
    uint32_t drain_ms;
    uint32_t close_ms;
    /* [limits] */
    uint32_t memory_bytes;
    uint32_t descriptors;
    double link_mbps;
    uint32_t suspects;
    /* [service] */
    uint32_t lookup_keep_ms;
    uint32_t grace_ms;
    uint32_t retry_window_ms;
    double retry_ratio;
    double retry_slack;
    uint32_t hold_ms;
    uint32_t backoff_max_ms;
    /* [gateway] */
    char forecast[CW_NAME_MAX];
    /* [log] */
    char log_level[CW_NAME_MAX];
    char log_format[CW_NAME_MAX];
} gateway_settings_t;

/* The table of all settings, and their number. */
const cw_setting_info_t* gateway_settings_info(uint32_t* count);
/* Reads and validates the file. Fails with every fault of the file in errors. */
cw_status_t gateway_settings_load(const char* path, gateway_settings_t* settings, cw_settings_errors_t* errors);
/* Age of the configuration or the list of servers at which even the host of the last rank polls the source. */
uint32_t gateway_settings_last_rank_age_ms(const gateway_settings_t* settings);

/* The forecast setting. */
cw_forecast_mode_t gateway_settings_forecast(const gateway_settings_t* settings);

#endif
