#ifndef CW_TEST_PLATFORM_ENTRIES_H
#define CW_TEST_PLATFORM_ENTRIES_H
/* Entries of a server as the platform's store returns them, in base64. */

/* {"service":"p","address":"127.0.0.1:9","zone":"a","version":"v1","slots":1,
    "state":"draining","cold_remaining_ms":0,"seq":1} */
#define DRAINING_ENTRY_BASE64                                                                                          \
    "eyJzZXJ2aWNlIjoicCIsImFkZHJlc3MiOiIxMjcuMC4wLjE6OSIsInpvbmUiOiJhIiwidmVyc2lvbiI6InYxIiwic2xvdHMiOjEsInN0YXRlIjoi" \
    "ZHJhaW5pbmciLCJjb2xkX3JlbWFpbmluZ19tcyI6MCwic2VxIjoxfQ=="
/* The same entry with "state":"ready". */
#define READY_ENTRY_BASE64                                                                                             \
    "eyJzZXJ2aWNlIjoicCIsImFkZHJlc3MiOiIxMjcuMC4wLjE6OSIsInpvbmUiOiJhIiwidmVyc2lvbiI6InYxIiwic2xvdHMiOjEsInN0YXRlIjoi" \
    "cmVhZHkiLCJjb2xkX3JlbWFpbmluZ19tcyI6MCwic2VxIjoxfQ=="

#endif
