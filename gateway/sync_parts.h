#ifndef CW_GATEWAY_SYNC_PARTS_H
#define CW_GATEWAY_SYNC_PARTS_H
/*
    What the parts of the sync share: sync.c puts in force what was read and says when it is read, sync_source.c reads
   the source, sync_peers.c reads peers and gives them what this daemon has.
*/
#include "../chalkway_changes.h"
#include "../chalkway_life.h"
#include "../chalkway_pull.h"
#include "../chalkway_reader.h"
#include "../io/buffer.h"
#include "../io/httpd.h"
#include "clock.h"
#include "sync.h"

#define CALL_MS 1000 /* a call to the source or a peer may take */
#define NEVER CW_READER_NEVER

/* One kind of call to the source or a peer. */
typedef struct fetch_t {
    sync_t* sync;
    cw_client_t* client;
    cw_call_t* call; /* NULL: none under way */
    cw_buffer_t body;
    int64_t next_ms;
    uint32_t failures;                /* in a row */
    char peer[CW_SERVER_ADDRESS_MAX]; /* who is asked */
    bool of_source;                   /* not a peer */
    char life[CW_NAME_MAX];           /* of the source, as its answer says, "" it does not */
    void (*on_answer)(sync_t* s, unsigned status, const char* body, size_t size);
    void (*on_failure)(sync_t* s, const char* why);
} fetch_t;

struct sync_t {
    sync_desc_t desc;
    cw_client_t* client;
    cw_httpd_t* share;
    fetch_t catalog, servers, peer_catalog, peer_servers;
    int64_t mark;       /* of the configuration read last from the source */
    int64_t catalog_ms; /* when the configuration in force was last known to be the newest, NEVER: none */
    cw_catalog_t* in_force;
    char* text; /* native document in force */
    cw_servers_t list;
    cw_servers_t pages; /* being read: page by page, or the list in force with its changes */
    bool by_changes;    /* the call under way asks for changes */
    bool for_closed;    /* the call under way asks for the closed halls */
    int64_t closed_ms;  /* when this daemon read them last, NEVER: not yet */
    char page_after[CW_NAME_MAX * 2];
    int64_t pages_ms;      /* when the first page, or the changes, were asked for, NEVER: nothing is being read */
    int64_t changes_from;  /* revision from which they were asked for */
    uint32_t page_count;   /* read so far */
    uint32_t whole_pages;  /* of the whole list */
    bool whole_known;      /* this daemon or a peer has read the whole list, and it isn't to be read again */
    uint32_t changes_read; /* readings of changes since */
    uint64_t list_id;
    cw_changes_t changes;      /* that led to it */
    bool whole_wanted;         /* from a peer: its changes did not lead to its list */
    int64_t list_ms;           /* when the list in force was last known to be true at the source, NEVER: none */
    cw_life_t life;            /* of the source */
    bool restored;             /* no list of this life is in force yet */
    cw_closed_t closed_before; /* known from the life before */
    int64_t closed_until_ms;   /* they count so long */
    int64_t life_told_ms;
    cw_pull_t catalog_pull, servers_pull;
    cw_reader_t reader;
    uint64_t draws;
    bool lost;
    sync_stats_t stats;
    uint64_t refused_untold; /* entries since the last line on them */
    int64_t refused_told_ms;
};

/* -- sync.c ---------------------------------------------------------------- */

void sync_fetch(fetch_t* f, const char* address, const char* path, uint32_t timeout_ms);
void sync_fetch_cancel(fetch_t* f);
/* The call succeeded: no pause is due. */
void sync_fetch_ok(fetch_t* f);
/* A random number. */
uint64_t sync_draw(sync_t* s);
/* Age of what was true then, as peers are told it. */
uint32_t sync_age(int64_t true_ms, int64_t now_ms);
/* Puts a native document in force unless it is older; takes over the text. */
void sync_adopt_catalog(sync_t* s, char* text, const char* from);
/* Puts a list in force that was true at the time, unless it is older; takes it over. */
void sync_adopt_servers(sync_t* s, cw_servers_t* list, int64_t true_ms);
void sync_refuse_answer(sync_t* s, const char* from, const cw_error_t* err);

/* -- sync_source.c --------------------------------------------------------- */

void sync_read_catalog(sync_t* s);
/* What changed, or the list page by page. */
void sync_read_servers(sync_t* s, int64_t now_ms);
void sync_read_whole(sync_t* s);
/* What is being read of the list is of no use. */
void sync_drop_pages(sync_t* s);
/* An answer of the source says its life. */
cw_life_verdict_t sync_hear_life(sync_t* s, const char* life);
void sync_on_catalog_answer(sync_t* s, unsigned status, const char* body, size_t size);
void sync_on_catalog_failure(sync_t* s, const char* why);
void sync_on_servers_answer(sync_t* s, unsigned status, const char* body, size_t size);
void sync_on_servers_failure(sync_t* s, const char* why);

/* -- sync_peers.c ---------------------------------------------------------- */

/* Fetches what peers offered, when it is time. */
void sync_pull_due(sync_t* s, int64_t now_ms);
/* A peer holds what this host lacks at its start, is about to be asked or being asked, and none has failed to answer.
 */
bool sync_is_offered(const sync_t* s, const fetch_t* f, const cw_pull_t* wanted, int64_t now_ms);
void sync_on_peer_catalog(sync_t* s, unsigned status, const char* body, size_t size);
void sync_on_peer_catalog_failure(sync_t* s, const char* why);
void sync_on_peer_servers(sync_t* s, unsigned status, const char* body, size_t size);
void sync_on_peer_servers_failure(sync_t* s, const char* why);
void sync_on_share_request(cw_exchange_t* x, void* user);

#endif
