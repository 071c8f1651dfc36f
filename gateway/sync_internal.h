#ifndef CW_GATEWAY_SYNC_INTERNAL_H
#define CW_GATEWAY_SYNC_INTERNAL_H
/*
    Shared by the source files of sync.h: sync.c applies documents and decides when to poll, sync_source.c polls the
    source, sync_peers.c fetches from peers and serves them.
*/
#include "../chalkway_changes.h"
#include "../chalkway_epoch.h"
#include "../chalkway_poll.h"
#include "../chalkway_pull.h"
#include "../io/buffer.h"
#include "../io/httpd.h"
#include "clock.h"
#include "sync.h"

#define CALL_TIMEOUT_MS 1000 /* of a call to the source or a peer */
#define NEVER CW_POLL_NEVER

/* Calls of one kind to the source or to peers, one at a time. */
typedef struct fetch_t {
    sync_t* sync;
    cw_client_t* client;
    cw_call_t* call; /* NULL: none under way */
    cw_buffer_t body;
    int64_t not_before_ms;               /* earliest time of the next call */
    int64_t begun_ms;                    /* when the last call began */
    uint32_t failures;                   /* in a row */
    char address[CW_SERVER_ADDRESS_MAX]; /* address of the callee */
    bool is_source;                      /* the callee is the source, not a peer */
    char epoch[CW_NAME_MAX];             /* epoch of the source as named in the response, "" none */
    void (*on_response)(sync_t* s, unsigned status, const char* body, size_t size);
    void (*on_failure)(sync_t* s, const char* why);
} fetch_t;

typedef enum history_state_t { HISTORY_UNREAD = 0, HISTORY_RUNNING, HISTORY_DONE } history_state_t;

struct sync_t {
    sync_desc_t desc;
    cw_client_t* client;
    cw_httpd_t* share_httpd;
    fetch_t catalog, servers, history, peer_catalog, peer_servers;
    history_state_t history_state;
    int64_t history_begun_ms;     /* when the last reading of the history began */
    int64_t history_after;        /* revision after which the running call asks for it */
    int64_t forgotten_at;         /* the source has forgotten changes after this revision */
    int64_t retained_after;       /* it has all changes after this one, which were read; NEVER: none yet */
    source_history_t retained;    /* these changes */
    int64_t catalog_version;      /* of the configuration that was last read from the source */
    int64_t catalog_confirmed_ms; /* when the active configuration was last known to be current, NEVER: none */
    cw_catalog_t* active_catalog;
    char* active_text; /* native document of the active configuration */
    cw_servers_t list;
    cw_servers_t incoming;  /* a list that is being read: the pages so far, or the active list with changes applied */
    bool asks_for_changes;  /* the running call asks for changes */
    bool asks_for_closed;   /* the running call asks for the closed halls */
    int64_t closed_read_ms; /* when this daemon last read the closed halls, NEVER: not yet */
    char page_after[SOURCE_KEY_MAX]; /* key after which the next page starts, "" for the first page */
    int64_t incoming_started_ms; /* when the first page or the changes were requested, NEVER: nothing is being read */
    int64_t changes_from;        /* revision since which changes were requested */
    uint32_t page_count;         /* pages of incoming that were read so far */
    uint32_t full_page_count;    /* pages of the last full list */
    bool has_full_list; /* the active list came in full, to this daemon or a peer; false: read it in full again */
    uint32_t delta_poll_count; /* polls for changes since the last full list */
    uint64_t list_id;
    cw_changes_t changes;      /* recent changes of the active list, to be served to peers */
    bool needs_full_list;      /* peers are asked for a full list, since a peer's changes did not lead to its list */
    int64_t list_confirmed_ms; /* when the active list was last known to be current at the source, NEVER: no list */
    cw_epoch_t epoch;          /* of the source */
    bool awaits_epoch_list;    /* the active list is of an earlier epoch */
    cw_closed_halls_t previous_closed; /* halls that were closed in the previous epoch */
    int64_t previous_closed_until_ms;  /* time until which the halls in previous_closed stay closed */
    int64_t epoch_logged_ms;           /* last log line on an invalid epoch */
    cw_pull_t catalog_pull, servers_pull;
    cw_poll_t poller;
    uint64_t random_count; /* random numbers drawn so far */
    bool is_unavailable;   /* the last call to the source failed */
    sync_stats_t stats;
    uint64_t unlogged_refusals; /* invalid entries since the last log line on them */
    int64_t refusals_logged_ms;
};

/* -- sync.c ---------------------------------------------------------------- */

void sync_begin_fetch(fetch_t* f, const char* address, const char* path, uint32_t timeout_ms);
void sync_cancel_fetch(fetch_t* f);
/* The call succeeded: the next one needs no backoff. */
void sync_reset_backoff(fetch_t* f);
/* A random number. */
uint64_t sync_random(sync_t* s);
/* Age of a document that was current at confirmed_ms, in the form that is sent to peers. */
uint32_t sync_age_ms(int64_t confirmed_ms, int64_t now_ms);
/* Makes a native document the active configuration, unless it is older. Takes ownership of the text. */
void sync_apply_catalog(sync_t* s, char* text, const char* from);
/* Makes a list that was current at confirmed_ms the active one, unless it is older. Takes ownership of the list. */
void sync_apply_servers(sync_t* s, cw_servers_t* list, int64_t confirmed_ms);
/* Logs a response that can't be used. */
void sync_log_invalid_response(sync_t* s, const char* from, const cw_error_t* err);

/* -- sync_source.c --------------------------------------------------------- */

void sync_poll_catalog(sync_t* s);
/* Requests the changes, or the next page of the full list. */
void sync_poll_servers(sync_t* s, int64_t now_ms);
/* Requests the first page of the full list. */
void sync_poll_full_list(sync_t* s);
/* Discards the list that is being read. */
void sync_discard_incoming(sync_t* s);
/* Checks the epoch that a response of the source names, and switches to it if it is newer. */
cw_epoch_verdict_t sync_check_epoch(sync_t* s, const char* epoch);
void sync_on_catalog_response(sync_t* s, unsigned status, const char* body, size_t size);
void sync_on_catalog_failure(sync_t* s, const char* why);
void sync_on_servers_response(sync_t* s, unsigned status, const char* body, size_t size);
void sync_on_servers_failure(sync_t* s, const char* why);

/* -- sync_history.c -------------------------------------------------------- */

void sync_on_history_response(sync_t* s, unsigned status, const char* body, size_t size);
void sync_on_history_failure(sync_t* s, const char* why);

/* -- sync_peers.c ---------------------------------------------------------- */

/* Fetches documents that peers offered, when the fetch is due. */
void sync_run_due_pulls(sync_t* s, int64_t now_ms);
/* Whether, shortly after the start, a peer has offered the missing document: the fetch is pending or running, and none
   has failed. */
bool sync_is_offered_by_peer(const sync_t* s, const fetch_t* f, const cw_pull_t* pull, int64_t now_ms);
void sync_on_peer_catalog_response(sync_t* s, unsigned status, const char* body, size_t size);
void sync_on_peer_catalog_failure(sync_t* s, const char* why);
void sync_on_peer_servers_response(sync_t* s, unsigned status, const char* body, size_t size);
void sync_on_peer_servers_failure(sync_t* s, const char* why);
void sync_on_share_request(cw_exchange_t* x, void* user);

#endif
